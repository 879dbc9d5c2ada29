#include "processes.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace rushtrestle::scale {

ProcessUsage measure_process(pid_t pid) {
  ProcessUsage usage;
  const std::string directory = "/proc/" + std::to_string(pid);
  std::ifstream stat(directory + "/stat");
  std::string text;
  std::getline(stat, text);
  const auto end_of_name = text.rfind(')');
  if (end_of_name == std::string::npos) return usage;
  std::istringstream fields(text.substr(end_of_name + 2));
  constexpr int kFieldsBeforeTimes = 11;  // from the state up to utime, see proc(5)
  std::string skipped;
  for (int i = 0; i < kFieldsBeforeTimes; ++i) fields >> skipped;
  double user = 0, system = 0;
  fields >> user >> system;
  usage.cpu_s = (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
  std::ifstream status(directory + "/status");
  while (std::getline(status, text)) {
    constexpr double kKilobytes = 1024;
    if (text.rfind("VmRSS:", 0) == 0) usage.memory_mb = std::stod(text.substr(6)) / kKilobytes;
    if (text.rfind("VmHWM:", 0) == 0) usage.peak_mb = std::stod(text.substr(6)) / kKilobytes;
  }
  return usage;
}

void kill_child(pid_t pid) {
  if (pid <= 0) return;
  ::kill(pid, SIGKILL);
  waitpid(pid, nullptr, 0);
}

Controllers::Controllers(const Experiment& experiment, std::string program)
    : program_(std::move(program)), running_(static_cast<size_t>(experiment.platform.nodes)) {
  if (access(program_.c_str(), X_OK) != 0)
    throw std::runtime_error("controller: cannot run " + program_);
  char directory[] = "/tmp/rushtrestle-scale-XXXXXX";
  if (!mkdtemp(directory)) throw std::runtime_error("cannot create a directory in /tmp");
  directory_ = directory;
  for (int i = 0; i < count(); ++i)
    std::ofstream(settings_file(i)) << controller_settings(experiment, i);
}

Controllers::~Controllers() {
  for (const auto& p : running_) kill_child(p.pid);
  std::error_code ignored;
  std::filesystem::remove_all(directory_, ignored);
}

void Controllers::start(int index) {
  const std::string log = directory_ + "/" + controller_name(index) + ".log";
  const pid_t pid = fork();
  if (pid < 0) throw std::runtime_error("controller: fork failed");
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    dup2(fd, STDERR_FILENO);
    execl(program_.c_str(), program_.c_str(), "--config", settings_file(index).c_str(),
          static_cast<char*>(nullptr));
    _exit(127);
  }
  running_[static_cast<size_t>(index)].pid = pid;
}

void Controllers::kill(int index) {
  auto& process = running_[static_cast<size_t>(index)];
  if (process.pid == 0) return;
  process.previous = usage(index);
  kill_child(process.pid);
  process.pid = 0;
}

ProcessUsage Controllers::usage(int index) const {
  const auto& process = running_[static_cast<size_t>(index)];
  if (process.pid == 0) return process.previous;
  ProcessUsage now = measure_process(process.pid);
  now.cpu_s += process.previous.cpu_s;
  now.peak_mb = std::max(now.peak_mb, process.previous.peak_mb);
  return now;
}

std::string Controllers::find_unexpected_exit() {
  for (int i = 0; i < count(); ++i) {
    auto& process = running_[static_cast<size_t>(i)];
    int status = 0;
    if (process.pid == 0 || waitpid(process.pid, &status, WNOHANG) != process.pid) continue;
    process.pid = 0;
    std::ifstream log(directory_ + "/" + controller_name(i) + ".log");
    std::string line, last;
    while (std::getline(log, line)) last = line;
    return controller_name(i) + " exited unexpectedly" +
           (WIFEXITED(status) ? " with status " + std::to_string(WEXITSTATUS(status))
                              : " by a signal") +
           (last.empty() ? "" : ": " + last);
  }
  return "";
}

}  // namespace rushtrestle::scale
