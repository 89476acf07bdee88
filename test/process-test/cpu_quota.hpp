#ifndef BORAGEHILL_PROCESS_TEST_CPU_QUOTA_HPP
#define BORAGEHILL_PROCESS_TEST_CPU_QUOTA_HPP

#include <atomic>
#include <thread>

namespace boragehill::process_test {

class process;

/// Lets a process use a share of a core only, as on a small machine: it is
/// stopped for the rest of the time, some milliseconds at once.
class cpu_quota {
 public:
  /// \param limited Has to run, and to outlive the quota.
  /// \param share Of a core, 0 to 1.
  cpu_quota(process& limited, double share);
  ~cpu_quota();
  cpu_quota(const cpu_quota&) = delete;
  cpu_quota& operator=(const cpu_quota&) = delete;

 private:
  void run();

  process& limited;
  double share;
  std::atomic<bool> over{false};
  std::thread thread;
};

/// \return The processor time that a running process has used, in seconds.
double cpu_seconds(process& used);

}  // namespace boragehill::process_test

#endif  // BORAGEHILL_PROCESS_TEST_CPU_QUOTA_HPP
