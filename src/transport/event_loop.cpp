#include "transport/event_loop.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <ctime>
#include <stdexcept>

namespace rushtrestle::transport {

EventLoop::EventLoop() : epoll_(epoll_create1(EPOLL_CLOEXEC)) {
  if (epoll_ < 0) throw std::runtime_error("epoll_create1 failed");
  refresh_clock();
}

EventLoop::~EventLoop() { close(epoll_); }

void EventLoop::refresh_clock() {
  timespec ts{};
  clock_gettime(CLOCK_MONOTONIC, &ts);
  now_ = static_cast<double>(ts.tv_sec) + static_cast<double>(ts.tv_nsec) * 1e-9;
}

void EventLoop::watch(int fd, uint32_t events, Priority priority, FdHandler handler) {
  fds_[fd] = WatchedFd{++generation_, priority, std::move(handler)};
  epoll_event ev{};
  ev.events = events;
  ev.data.u64 = (static_cast<uint64_t>(generation_) << 32) | static_cast<uint32_t>(fd);
  epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &ev);
}

void EventLoop::change(int fd, uint32_t events) {
  auto it = fds_.find(fd);
  if (it == fds_.end()) return;
  epoll_event ev{};
  ev.events = events;
  ev.data.u64 = (static_cast<uint64_t>(it->second.generation) << 32) | static_cast<uint32_t>(fd);
  epoll_ctl(epoll_, EPOLL_CTL_MOD, fd, &ev);
}

void EventLoop::unwatch(int fd) {
  if (fds_.erase(fd) != 0) epoll_ctl(epoll_, EPOLL_CTL_DEL, fd, nullptr);
}

EventLoop::TimerId EventLoop::after(double seconds, std::function<void()> callback) {
  const TimerId id = next_timer_++;
  const double at = now_ + std::max(0.0, seconds);
  timers_.emplace(std::make_pair(at, id), std::move(callback));
  due_[id] = at;
  return id;
}

void EventLoop::cancel(TimerId id) {
  auto it = due_.find(id);
  if (it == due_.end()) return;
  timers_.erase({it->second, id});
  due_.erase(it);
}

// Skips events of sockets that were closed earlier in this iteration, also when a new socket has
// the same file descriptor number.
void EventLoop::dispatch(epoll_event* events, size_t count) {
  const auto watched = [this](const epoll_event& event) -> WatchedFd* {
    const auto it = fds_.find(static_cast<int>(event.data.u64 & 0xffffffffU));
    return it == fds_.end() || it->second.generation != event.data.u64 >> 32 ? nullptr
                                                                             : &it->second;
  };
  epoll_event* const first_request =
      std::stable_partition(events, events + count, [&](const epoll_event& event) {
        const WatchedFd* w = watched(event);
        return w && w->priority == Priority::reply;
      });
  epoll_event* const end = std::min(events + count, first_request + kMaxRequests);
  for (const epoll_event* event = events; event != end; ++event) {
    const WatchedFd* w = watched(*event);
    if (!w) continue;
    const auto handler = w->handler;  // copied because the handler may remove itself
    handler(event->events);
  }
}

void EventLoop::run_due_timers() {
  while (!timers_.empty() && timers_.begin()->first.first <= now_) {
    auto node = timers_.extract(timers_.begin());
    due_.erase(node.key().second);
    node.mapped()();
  }
}

void EventLoop::run() {
  std::array<epoll_event, kMaxEvents> events{};
  while (running_) {
    int wait_ms = -1;
    if (!timers_.empty()) {
      const double left = timers_.begin()->first.first - now_;
      wait_ms = left <= 0 ? 0 : static_cast<int>(std::min(60000.0, std::ceil(left * 1000.0)));
    }
    const int n = epoll_wait(epoll_, events.data(), static_cast<int>(events.size()), wait_ms);
    refresh_clock();
    dispatch(events.data(), static_cast<size_t>(std::max(0, n)));
    run_due_timers();
    if (after_iteration_) after_iteration_();
  }
}

}  // namespace rushtrestle::transport
