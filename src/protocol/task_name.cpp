#include "protocol/task_name.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace rushtrestle::protocol {

bool valid_job_id(const std::string& id) {
  static const std::string prefix = "job-";
  constexpr size_t kMaxLength = 64;
  return id.size() > prefix.size() && id.size() <= kMaxLength &&
         id.compare(0, prefix.size(), prefix) == 0 &&
         std::all_of(id.begin() + static_cast<std::ptrdiff_t>(prefix.size()), id.end(),
                     [](unsigned char character) { return std::isalnum(character); });
}

bool parse_task_name(const std::string& text, std::string& job, uint32_t& task) {
  const auto slash = text.rfind('/');
  if (slash == std::string::npos) return false;
  job = text.substr(0, slash);
  const char* end = text.data() + text.size();
  const auto [stopped_at, error] = std::from_chars(text.data() + slash + 1, end, task);
  return error == std::errc{} && stopped_at == end && valid_job_id(job);
}

std::string task_name(const std::string& job, uint32_t task) {
  return job + "/" + std::to_string(task);
}

}  // namespace rushtrestle::protocol
