// Tests the counter and the log name of each outcome of an attempt.
#include <gtest/gtest.h>

#include <iterator>
#include <set>
#include <string_view>

#include "router/outcome_reporting.h"

namespace headrouter {
namespace {

constexpr AttemptOutcome every_outcome[] = {AttemptOutcome::completed,      AttemptOutcome::error,
                                            AttemptOutcome::at_capacity,    AttemptOutcome::timed_out,
                                            AttemptOutcome::connect_failed, AttemptOutcome::reset,
                                            AttemptOutcome::cancelled,      AttemptOutcome::not_sent};

TEST(OutcomeReporting, EveryOutcomeHasAUniqueLogName) {
    std::set<std::string_view> names;
    for (const AttemptOutcome outcome : every_outcome) names.insert(name_of(outcome));
    EXPECT_EQ(names.size(), std::size(every_outcome));
    EXPECT_FALSE(names.contains("unknown"));
}

TEST(OutcomeReporting, FailureBeforeEstablishmentIsCountedByOutcome) {
    EXPECT_EQ(counter_of(AttemptOutcome::error), Counter::attempts_error);
    EXPECT_EQ(counter_of(AttemptOutcome::at_capacity), Counter::attempts_at_capacity);
    EXPECT_EQ(counter_of(AttemptOutcome::timed_out), Counter::attempts_timed_out);
    EXPECT_EQ(counter_of(AttemptOutcome::connect_failed), Counter::attempts_connect_failed);
    EXPECT_EQ(counter_of(AttemptOutcome::reset), Counter::attempts_reset);
    EXPECT_EQ(counter_of(AttemptOutcome::not_sent), Counter::attempts_not_sent);
    EXPECT_EQ(counter_of(AttemptOutcome::cancelled), Counter::attempts_cancelled);
}

}  // namespace
}  // namespace headrouter
