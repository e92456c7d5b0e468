// One page of HTML that needs nothing beside it: service over time, load by server, delays, what happened
// when.
#pragma once
#include <string>
#include <vector>

#include "scenario/outcome.h"

namespace headrouter::experiments {

std::string report_html(const std::vector<scenario::Outcome>&, int lines_cut_off);

}  // namespace headrouter::experiments
