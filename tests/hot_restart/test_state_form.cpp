// The form of the state that a process hands over at a hot restart, pinned for its version: a change of the
// form that does not raise the version would let two builds misread each other's state.
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

// Reads a state in which every list has two elements, every optional is set and every text has one character,
// and records the type of each field in the order of the visits: what the form is, whatever the policy would
// decide.
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

    // What is no plain value: the size of a list or a text, or a text's characters.
    void raw(void* into, size_t size) {
        uint32_t count = 2;
        if (size == sizeof count) {
            std::memcpy(into, &count, size);
            types_ += '[';
        } else {
            // Characters, each text another one, so that the keys of a table differ.
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
    "The form of the state that a hot restart hands over has changed, and its version has not. If the change "
    "is "
    "meant: raise number and name of state_version (src/hot_restart/state_version.h), record the new form "
    "with "
    "tests/hot_restart/record_state.py as state-N.bin and pin the policy's fields in policy-fields-N.txt, N "
    "the new "
    "number; the files of older versions stay. If it is not meant, restore the order and the types of the "
    "fields.";

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

// Builds of commit 73c782f and before name the form so: another text would cost an upgrade every connection.
TEST(StateForm, VersionOneHasTheNameThatItsFirstBuildSends) {
    if (hot_restart::state_version.number != 1) return;
    EXPECT_EQ(hot_restart::state_version.name,
              "ec6d23fa37f0bb6f2bc5a9b67f7ab33eb754bbf05c81876dedf6d7df3d126070");
}

TEST(StateForm, TheFieldsOfThePolicyAreThoseOfItsVersion) {
    RecordingActions actions;
    BalancingPolicy policy(make_config(), 1, actions, cycle_start);
    capture::FieldRecorder fields;
    BalancingPolicy::State state = policy.state();
    capture::visit(fields, state);
    EXPECT_EQ(wrapped(fields.types()), read_whole(pinned("policy-fields", ".txt"))) << what_to_do;
}

// A state that a build of this version handed over under load is read here, and written again to the bit.
TEST(StateForm, ARecordedStateOfItsVersionIsReadAndWrittenAgainToTheBit) {
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
