// The event loop: epoll for sockets, a heap of timers, nothing else.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>

struct epoll_event;

namespace rushtrestle::transport {

class EventLoop {
 public:
  using FdHandler = std::function<void(uint32_t events)>;
  using TimerId = uint64_t;

  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Which sockets are served first when many are ready.
  enum class Priority {
    reply,   // answers to our own requests: renewals of the lease among them
    request  // what others want of us
  };
  void watch(int fd, uint32_t events, Priority priority, FdHandler handler);
  void change(int fd, uint32_t events);
  void unwatch(int fd);

  TimerId after(double seconds, std::function<void()> fn);
  void cancel(TimerId id);

  /// Called once per turn, after every ready socket and due timer was served:
  /// the owner of all state works off its queue of commands there, in one batch.
  void each_turn(std::function<void()> fn) { turn_ = std::move(fn); }

  void run();
  void stop() { running_ = false; }
  /// As of the last reading: each time that sockets were waited for, and each `refresh_clock`.
  double now() const { return now_; }
  void refresh_clock();

 private:
  /// Sockets asked for and requests served in a turn. With little processor time a long turn keeps
  /// renewals of the lease waiting, and who lost it loses its parts: what is left is served in the
  /// next turn.
  static constexpr size_t kMostEvents = 256;
  static constexpr size_t kMostRequests = 32;
  void serve(epoll_event* events, size_t count);
  void run_due_timers();

  int epoll_ = -1;
  bool running_ = true;
  double now_ = 0;
  TimerId next_timer_ = 1;
  std::map<std::pair<double, TimerId>, std::function<void()>> timers_;
  std::unordered_map<TimerId, double> due_;
  // A handler may close other sockets of the same batch; the generation tells
  // an event of a closed socket from one of a new socket with the same number.
  struct Watched {
    uint32_t generation = 0;
    Priority priority = Priority::request;
    std::function<void(uint32_t)> handler;
  };
  std::unordered_map<int, Watched> fds_;
  uint32_t generation_ = 0;
  std::function<void()> turn_;
};

}  // namespace rushtrestle::transport
