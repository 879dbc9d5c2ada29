// Names of jobs and tasks, as users, workers and peers write them.
#pragma once
#include <cstdint>
#include <string>

namespace rushtrestle::protocol {

/// "job-000412": `job-` and letters or digits.
bool valid_job_id(const std::string& id);
/// "job-000412/7": a job and the number of a task. False for anything else; what `job` and `task`
/// hold then means nothing.
bool parse_task_name(const std::string& text, std::string& job, uint32_t& task);
std::string task_name(const std::string& job, uint32_t task);

}  // namespace rushtrestle::protocol
