/// Pairs a word that a setting accepts with the value that the word stands for.
#pragma once
#include <string>

namespace headrouter {

template <class Value, class Name = std::string>
struct NamedValue {
    Name name;
    Value value;
};

}  // namespace headrouter
