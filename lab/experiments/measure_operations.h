// What operators are promised of a balancer in service, measured on one process (or two) on loopback.
#pragma once
#include "experiments/measures.h"

namespace headrouter::experiments {

int ops_answers(const Measuring&);  // in a crowd that keeps its core busy
int upgrade(const Measuring&);      // one new process after the other, under connections that come and stand

}  // namespace headrouter::experiments
