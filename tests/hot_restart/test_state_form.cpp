// Pins the layout of the state that a process hands over at a hot restart to its version. If the layout
// changed and the version did not, two builds would misread each other's state.
#include <gtest/gtest.h>

#include <cstring>
#include <limits>
#include <string>

#include "capture/policy_form.h"
#include "hot_restart/balancer_parts.h"
#include "hot_restart/state_version.h"
#include "hot_restart/transfer_state.h"
#include "policy_helpers.h"

namespace headrouter::capture {

// Records the type of each field in the order of the visits, which is the layout, whatever the policy
// would decide. To this end it supplies a state in which every list has two elements, every optional is
// set and every text has two characters.
class FieldRecorder {
   public:
    static constexpr bool writes = false;

    template <class T>
    void plain_value(T& value) {
        value = T{};
        if constexpr (std::is_same_v<T, bool>) {
            value = true;
            types_ += 'b';
        } else if constexpr (std::is_floating_point_v<T>) {
            types_ += 'f';
        } else if constexpr (std::is_enum_v<T>) {
            types_ += sizeof(T) == 1 ? 'e' : 'E';
        } else {
            types_ += sizeof(T) == 1 ? 'c' : 'i';
        }
    }

    // Supplies what is not a plain value: the size of a list or text, or a text's characters.
    void raw(void* into, size_t size) {
        uint32_t count = 2;
        if (size == sizeof count) {
            std::memcpy(into, &count, size);
            types_ += '[';
        } else {
            // Each text gets a different character, so that the keys of a table differ.
            std::memset(into, 'a' + static_cast<int>(texts_++ % 26), size);
            types_ += 't';
        }
    }

    [[nodiscard]] static size_t left() { return std::numeric_limits<size_t>::max(); }
    [[nodiscard]] const std::string& types() const { return types_; }

   private:
    std::string types_;
    size_t texts_ = 0;
};

}  // namespace headrouter::capture

using namespace headrouter;

namespace {

constexpr const char* what_to_do =
    "The layout of the state that a hot restart hands over has changed, but its version has not. If the "
    "change is intended: raise number and name of state_version (src/hot_restart/state_version.h), record "
    "the "
    "new layout with tests/hot_restart/record_state.py as state-N.bin and the policy's fields in "
    "policy-fields-N.txt, where N is the new number; keep the files of older versions. If it is not "
    "intended, "
    "restore the order and the types of the fields.";

std::string pinned(const std::string& name, const std::string& extension) {
    return std::string(STATE_FOLDER) + "/" + name + "-" + std::to_string(hot_restart::state_version.number) +
           extension;
}

std::string wrapped(const std::string& types) {
    constexpr size_t columns = 100;
    std::string lines;
    for (size_t at = 0; at < types.size(); at += columns) lines += types.substr(at, columns) + "\n";
    return lines;
}

}  // namespace

// Builds up to commit 73c782f send this name: with any other text an upgrade would lose every connection.
TEST(StateForm, VersionOneKeepsTheNameThatItsFirstBuildsSend) {
    if (hot_restart::state_version.number != 1) return;
    EXPECT_EQ(hot_restart::state_version.name,
              "ec6d23fa37f0bb6f2bc5a9b67f7ab33eb754bbf05c81876dedf6d7df3d126070");
}

TEST(StateForm, PolicyFieldsMatchThePinnedFieldsOfTheVersion) {
    RecordingActions actions;
    BalancingPolicy policy(make_config(), 1, actions, cycle_start);
    capture::FieldRecorder fields;
    BalancingPolicy::State state = policy.state();
    capture::visit(fields, state);
    EXPECT_EQ(wrapped(fields.types()), read_whole(pinned("policy-fields", ".txt"))) << what_to_do;
}

// The recorded state was handed over by a build of this version under load.
TEST(StateForm, RecordedStateOfTheVersionIsRestoredAndPackedToIdenticalBytes) {
    const std::string recorded = read_whole(pinned("state", ".bin"));
    constexpr size_t connections = 11;
    struct ev_loop* loop = ev_loop_new(0);
    {
        BalancerParts parts(loop);
        std::vector<Fd> descriptors = sockets(connections);
        const TimePoint then = packed_at(recorded);
        try {
            hot_restart::unpack(parts.all(), recorded, std::move(descriptors), then);
        } catch (const ParseError& error) {
            FAIL() << error.what() << ". " << what_to_do;
        }
        const hot_restart::TransferState again = hot_restart::pack(parts.all(), then);
        EXPECT_EQ(again.descriptors.size(), connections);
        EXPECT_TRUE(again.bytes == recorded)
            << "first different byte: "
            << std::mismatch(again.bytes.begin(), again.bytes.end(), recorded.begin(), recorded.end()).first -
                   again.bytes.begin()
            << " of " << recorded.size() << ". " << what_to_do;
    }
    ev_loop_destroy(loop);
}
