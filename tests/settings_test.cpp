#include "protocol/settings.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>

namespace rushtrestle::protocol {
namespace {

store::Settings platform_with_team_red() {
  store::Settings s;
  s.teams = {{"red", {}, {}}};
  return s;
}

std::string operator_settings_error(const std::string& text) {
  try {
    parse_operator_settings(text, platform_with_team_red());
  } catch (const SettingsError& e) {
    return e.what();
  }
  return "";
}

/// Reads a file of platform settings with additional lines for the workers and the state store.
store::Settings platform_settings(const std::string& workers, const std::string& state,
                                  const std::string& ops = "8") {
  const std::string path =
      ::testing::TempDir() + "rushtrestle-settings-" + std::to_string(::getpid()) + ".toml";
  std::ofstream(path)
      << "node = \"n-0\"\narea = \"a\"\nserve_on = \"127.0.0.1:1\"\npeer_listen = \"127.0.0.1:2\"\n"
         "[external]\ncloud = \"127.0.0.1:3\"\nstate = \"127.0.0.1:4\"\n"
         "[deployment]\ncount = 1\nzones = [\"a\"]\n[[deployment.teams]]\nname = \"red\"\ncpus = "
         "1.0\n"
         "gpus = 0.0\ncpus_max = 2.0\ngpus_max = 0.0\n[deployment.workers]\nreport_s = 2.0\n"
         "lease_s = 14.0\ncancel_s = 39.0\n"
      << workers
      << "[deployment.state]\nrps = 60.0\nwrite_rps = 20.0\nvalue_kb = 4.0\ntxn_ops = " << ops
      << "\n"
      << state
      << "[deployment.cloud]\nrps = 8.0\nlist_lag_s = 3.0\n[deployment.resources]\ncores = 0.16\n"
         "ram_mb = 56.0\nfd_limit = 800\n";
  try {
    auto s = read_settings(path);
    std::remove(path.c_str());
    return s;
  } catch (const SettingsError&) {
    std::remove(path.c_str());
    throw;
  }
}

std::string platform_settings_error(const std::string& workers, const std::string& state,
                                    const std::string& ops = "8") {
  try {
    platform_settings(workers, state, ops);
  } catch (const SettingsError& e) {
    return e.what();
  }
  return "";
}

// The state store may switch to the announced limits at any time, without notice.
TEST(Settings, LimitsOfValuesAndTransactionsAreTheLowerOfCurrentAndNext) {
  const auto before = platform_settings("", "");
  EXPECT_EQ(before.txn_ops, 8);
  EXPECT_DOUBLE_EQ(before.value_kb, 4);
  EXPECT_DOUBLE_EQ(before.next_write_rps, 0);
  const auto lower = platform_settings(
      "", "[deployment.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\nwrite_rps = 15.0\n");
  EXPECT_EQ(lower.txn_ops, 4);
  EXPECT_DOUBLE_EQ(lower.value_kb, 2);
  EXPECT_DOUBLE_EQ(lower.state_write_rps, 20);
  EXPECT_DOUBLE_EQ(lower.next_write_rps, 15);
  const auto higher =
      platform_settings("", "[deployment.state.next]\nvalue_kb = 16.0\ntxn_ops = 64\n");
  EXPECT_EQ(higher.txn_ops, 8);
  EXPECT_DOUBLE_EQ(higher.value_kb, 4);
}

// A best-effort team has 0 for all its limits. When 0 was read as a quota of nothing, every job of
// the team was refused permanently.
TEST(Settings, AQuotaOfZeroMeansNoLimit) {
  const auto team = platform_settings("", "").teams.front();
  EXPECT_DOUBLE_EQ(team.quota.cpus, 2);
  EXPECT_EQ(team.quota.gpus, store::kNoLimit);
  EXPECT_TRUE(team.has_guarantee());
}

TEST(Settings, ErrorsNameInvalidLimitsAndGangTimes) {
  const std::string next = "deployment.state.next";
  EXPECT_EQ(platform_settings_error("", "[deployment.state.next]\nvalue_kb = 0\n"),
            next + ".value_kb: must be greater than 0.000000");
  EXPECT_EQ(platform_settings_error("", "[deployment.state.next]\nvalue_kb = \"2\"\n"),
            next + ".value_kb: missing or not a number");
  EXPECT_EQ(platform_settings_error("", "[deployment.state.next]\ntxn_ops = 0\n"),
            next + ".txn_ops: must be at least 1.000000");
  EXPECT_EQ(platform_settings_error("", "[deployment.state.next]\ntxn_ops = 2.5\n"),
            next + ".txn_ops: must be an integer of at most 1000000000");
  EXPECT_EQ(platform_settings_error("", "[deployment.state.next]\nwrite_rps = -1\n"),
            next + ".write_rps: must be greater than 0.000000");
  EXPECT_EQ(platform_settings_error("", "next = 2\n"), next + ": must be a table");
  EXPECT_EQ(platform_settings_error("", "", "1e300"),
            "deployment.state.txn_ops: must be an integer of at most 1000000000");
  EXPECT_EQ(platform_settings_error("gang_wait_s = 0\n", ""),
            "deployment.workers.gang_wait_s: must be greater than 0.000000");
  EXPECT_EQ(platform_settings_error("gang_peer_s = -3.0\n", ""),
            "deployment.workers.gang_peer_s: must be greater than 0.000000");
  EXPECT_EQ(platform_settings_error("gang_peer_s = 8.0\ngang_wait_s = 50.0\n",
                                    "[deployment.state.next]\n"),
            "");
}

TEST(Settings, OperatorSettingsAreRead) {
  const auto s = parse_operator_settings(
      "; comment (with parentheses\n(requeue-delay 30)\n(scan-period 2.5) (share-period 7)\n"
      "(preemptible low\n normal)\n(team-share red 3)\n",
      platform_with_team_red());
  EXPECT_DOUBLE_EQ(s.requeue_delay_s, 30);
  EXPECT_DOUBLE_EQ(s.scan_period_s, 2.5);
  EXPECT_DOUBLE_EQ(s.share_period_s, 7);
  EXPECT_EQ(s.preemptible, (std::vector<store::Rank>{store::Rank::low, store::Rank::normal}));
  ASSERT_EQ(s.team_shares.size(), 1u);
  EXPECT_EQ(s.team_shares[0].first, "red");
}

TEST(Settings, ErrorsNameTheirLine) {
  EXPECT_EQ(operator_settings_error("\n\n(requeue-dealy 3)"),
            "line 3: unknown setting 'requeue-dealy'");
  EXPECT_EQ(operator_settings_error("(requeue-delay soon)"),
            "line 1: requeue-delay: 'soon' is not a number");
  EXPECT_EQ(operator_settings_error("(requeue-delay 0)"),
            "line 1: requeue-delay: must be greater than 0");
  EXPECT_EQ(operator_settings_error("(requeue-delay)"), "line 1: requeue-delay: missing number");
  EXPECT_EQ(operator_settings_error("\n(scan-period 3"), "line 2: missing closing parenthesis");
  EXPECT_EQ(operator_settings_error("scan-period 3"), "line 1: expected a setting in parentheses");
  EXPECT_EQ(operator_settings_error("(team-share green 1)"),
            "line 1: team-share: unknown team 'green'");
  EXPECT_EQ(operator_settings_error("(preemptible prod)"),
            "line 1: preemptible: expects ranks: low, normal, high or production");
}

RC_GTEST_PROP(Settings, NoTextCrashesTheParser, (const std::string& text)) {
  (void)operator_settings_error(text);
  (void)operator_settings_error("(" + text + ")");
}

}  // namespace
}  // namespace rushtrestle::protocol
