// Names of jobs and tasks in the messages of users, workers and peers.
#pragma once
#include <cstdint>
#include <string>

namespace rushtrestle::protocol {

/// Whether `id` is `job-` followed by letters or digits, at most 64 bytes in all, such as
/// "job-000412".
bool valid_job_id(const std::string& id);
/// Parses a job and the number of a task, such as "job-000412/7". Returns false for any other text;
/// `job` and `task` are then unspecified.
bool parse_task_name(const std::string& text, std::string& job, uint32_t& task);
std::string task_name(const std::string& job, uint32_t task);

}  // namespace rushtrestle::protocol
