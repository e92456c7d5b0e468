// Outcomes as JSON lines: one a run, written when it ends, so that what was done stands whatever comes after.
#pragma once
#include <iosfwd>
#include <string>
#include <vector>

#include "scenario/outcome.h"

namespace headrouter::experiments {

std::string to_json(const scenario::Outcome&);  // without a line end
// Throws ParseError with the line. Lines that end early, as a killed run leaves them, are passed over and
// counted.
struct Results {
    std::vector<scenario::Outcome> outcomes;
    int cut_off = 0;
};
Results read_results(const std::string& path);

}  // namespace headrouter::experiments
