#include "protocol/settings.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace rushtrestle::protocol {
namespace {

store::Settings platform() {
  store::Settings s;
  s.teams = {{"red", {}, {}}};
  return s;
}

std::string fault(const std::string& text) {
  try {
    parse_operator_settings(text, platform());
  } catch (const SettingsError& e) {
    return e.what();
  }
  return "";
}

TEST(Settings, OperatorsSettingsAreRead) {
  const auto s = parse_operator_settings(
      "; comment (with parentheses\n(requeue-delay 30)\n(scan-period 2.5) (share-period 7)\n"
      "(preemptible low\n normal)\n(team-share red 3)\n",
      platform());
  EXPECT_DOUBLE_EQ(s.requeue_delay_s, 30);
  EXPECT_DOUBLE_EQ(s.scan_period_s, 2.5);
  EXPECT_DOUBLE_EQ(s.share_period_s, 7);
  EXPECT_EQ(s.preemptible, (std::vector<store::Rank>{store::Rank::low, store::Rank::normal}));
  ASSERT_EQ(s.team_shares.size(), 1u);
  EXPECT_EQ(s.team_shares[0].first, "red");
}

TEST(Settings, FaultsNameTheirLine) {
  EXPECT_EQ(fault("\n\n(requeue-dealy 3)"), "line 3: unknown setting 'requeue-dealy'");
  EXPECT_EQ(fault("(requeue-delay soon)"), "line 1: requeue-delay: 'soon' is no number");
  EXPECT_EQ(fault("(requeue-delay 0)"), "line 1: requeue-delay: must be above 0");
  EXPECT_EQ(fault("(requeue-delay)"), "line 1: requeue-delay: a number is missing");
  EXPECT_EQ(fault("\n(scan-period 3"), "line 2: form is not closed");
  EXPECT_EQ(fault("scan-period 3"), "line 1: expected a form in parentheses");
  EXPECT_EQ(fault("(team-share green 1)"), "line 1: team-share: no team 'green'");
  EXPECT_EQ(fault("(preemptible prod)"), "line 1: preemptible: ranks are low, normal, high and production");
}

RC_GTEST_PROP(Settings, NoTextCrashesTheReader, (const std::string& text)) {
  (void)fault(text);
  (void)fault("(" + text + ")");
}

}  // namespace
}  // namespace rushtrestle::protocol
