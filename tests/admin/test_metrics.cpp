#include <iostream>

#include "admin/admin_commands.h"
#include "admin/metrics.h"
#include "policy_helpers.h"

TEST(Metrics, PrintsEveryConfiguredClassAndEscapesNames) {
    const std::vector<std::string> class_names{"chat", "", "p\"y\n"};
    admin::SetupCounters setups(1);
    setups.grow_to(class_names.size());
    EXPECT_EQ(admin::to_json({class_names, setups}),
              R"({"succeeded":{"chat":0,"p\"y\n":0},"declined":{"chat":0,"p\"y\n":0},)"
              R"("aborted":{"chat":0,"p\"y\n":0},"forwards":0,"outstanding":0,"discovered":0,"ejected":0})");
    setups.add(admin::SetupOutcome::succeeded, 2);
    setups.add(admin::SetupOutcome::declined, 0);
    setups.add_forward();
    setups.add(admin::SetupOutcome::aborted, 0);
    setups.grow_to(1);  // classes that are no longer configured keep their counts
    EXPECT_EQ(admin::to_json({class_names, setups, 3, 2, 1}),
              R"({"succeeded":{"chat":0,"p\"y\n":1},"declined":{"chat":1,"p\"y\n":0},)"
              R"("aborted":{"chat":1,"p\"y\n":0},"forwards":1,"outstanding":3,"discovered":2,"ejected":1})");
}

TEST(Metrics, UnknownOrIncompleteCommandReturnsAnError) {
    admin::AdminCommands commands;
    commands.add("STATUS", [] { return "done\r\n"; });
    commands.add("METRICS", [] { return "{}\r\nend\r\n"; });
    EXPECT_EQ(commands.execute("STATUS\r\n", true).text, "done\r\n");
    EXPECT_EQ(commands.execute("STATUS\n", true).text, "done\r\n");
    EXPECT_EQ(commands.execute("METRICS \r\n", true).text, "{}\r\nend\r\n");
    for (const std::string& bad : {std::string("\r\n"), std::string("status\r\n"),
                                   std::string("STATUS now\r\n"), std::string("\0\xff\r\n", 4)})
        EXPECT_EQ(commands.execute(bad, true).text, "error expected one of METRICS, STATUS\r\n");
    for (const std::string& half : {std::string(), std::string("STATUS"), std::string(5000, 'x')})
        EXPECT_EQ(commands.execute(half, false).text.substr(0, 6), "error ");
}
