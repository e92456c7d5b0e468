/// What the measures share: exit codes, the machine they ran on, a folder of their own, a fleet of two kinds.
#pragma once
#include <string>

namespace headrouter::experiments {

/// Exit codes of a measure whose claim does not hold, or could not be judged.
constexpr int claim_failed = 1, not_judged = 3;

/// What a measure's figures depend on, for its last lines.
std::string machine();

/// A [[fleet.kind]] table for each of two kinds of servers, with weights that say only roughly what they can
/// do.
extern const char* const mixed_fleet;

/// A new folder, removed with all that is in it.
class TempFolder {
   public:
    TempFolder();
    TempFolder(const TempFolder&) = delete;
    TempFolder& operator=(const TempFolder&) = delete;
    ~TempFolder();

    const std::string& path() const { return path_; }

   private:
    std::string path_;
};

}  // namespace headrouter::experiments
