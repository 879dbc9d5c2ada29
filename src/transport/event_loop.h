// An event loop for sockets (epoll) and timers.
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

  /// The order in which ready sockets are handled: replies first.
  enum class Priority {
    reply,   // answers to requests of this process, lease renewals among them
    request  // connections and requests from others
  };
  void watch(int fd, uint32_t events, Priority priority, FdHandler handler);
  void change(int fd, uint32_t events);
  void unwatch(int fd);

  TimerId after(double seconds, std::function<void()> callback);
  void cancel(TimerId id);

  /// Sets the function that is called once per iteration, after the ready sockets and the due
  /// timers were handled. The owner of all state processes its queued commands there, in one batch.
  void after_each_iteration(std::function<void()> callback) {
    after_iteration_ = std::move(callback);
  }

  void run();
  void stop() { running_ = false; }
  /// Returns the monotonic time in seconds, as read after the last wait for events or by the last
  /// `refresh_clock`.
  double now() const { return now_; }
  void refresh_clock();

 private:
  /// Limits on the ready sockets fetched and the requests handled in one iteration; the next
  /// iteration handles the rest. On an overloaded CPU a long iteration delays lease renewals, and a
  /// controller that loses its lease loses its shards.
  static constexpr size_t kMaxEvents = 256;
  static constexpr size_t kMaxRequests = 32;
  void dispatch(epoll_event* events, size_t count);
  void run_due_timers();

  int epoll_ = -1;
  bool running_ = true;
  double now_ = 0;
  TimerId next_timer_ = 1;
  std::map<std::pair<double, TimerId>, std::function<void()>> timers_;
  std::unordered_map<TimerId, double> due_;
  // A handler may close other sockets of the same batch. The generation distinguishes an event of a
  // closed socket from one of a new socket with the same file descriptor number.
  struct WatchedFd {
    uint32_t generation = 0;
    Priority priority = Priority::request;
    std::function<void(uint32_t)> handler;
  };
  std::unordered_map<int, WatchedFd> fds_;
  uint32_t generation_ = 0;
  std::function<void()> after_iteration_;
};

}  // namespace rushtrestle::transport
