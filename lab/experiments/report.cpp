#include "experiments/report.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iomanip>
#include <map>
#include <set>
#include <sstream>

#include "experiments/statistics.h"

namespace headrouter::experiments {
using namespace scenario;

namespace {

constexpr int width = 900, height = 220, left = 50, right = 12, top = 12, bottom = 26;
constexpr std::array colours{"#1b6ca8", "#c8553d", "#3a7d44", "#7b4b94", "#b58900", "#555555"};

std::string escaped(const std::string& text) {
    std::string out;
    for (const char c : text) switch (c) {
            case '<': out += "&lt;"; break;
            case '>': out += "&gt;"; break;
            case '&': out += "&amp;"; break;
            case '"': out += "&quot;"; break;
            default: out += c;
        }
    return out;
}

std::string fixed(double v, int places) {
    std::ostringstream o;
    o << std::fixed << std::setprecision(places) << v;
    return o.str();
}

struct Line {
    std::string name;
    std::vector<double> y, low, high;  // low and high: a band, where there is one
};

class Plot {
   public:
    // `each`: seconds between two points of a line.
    Plot(double seconds, double most, const std::string& unit, double each = 1)
        : seconds_(std::max(1.0, seconds)), most_(std::max(1e-9, most)), each_(each) {
        o_ << "<svg viewBox='0 0 " << width << ' ' << height << "' role='img'>";
        for (int k = 0; k <= 4; ++k) {
            const double v = most_ * k / 4;
            o_ << "<line x1='" << left << "' x2='" << width - right << "' y1='" << y(v) << "' y2='" << y(v)
               << "' class='grid'/><text x='" << left - 6 << "' y='" << y(v) + 4 << "' text-anchor='end'>"
               << fixed(v, most_ < 10 ? 2 : 0) << unit << "</text>";
        }
        const double step = seconds_ > 300 ? 60 : seconds_ > 90 ? 20 : seconds_ > 30 ? 10 : 5;
        for (int k = 0; k * step <= seconds_; ++k) {
            const double t = k * step;
            o_ << "<text x='" << x(t) << "' y='" << height - 8 << "' text-anchor='middle'>" << fixed(t, 0)
               << " s</text>";
        }
    }
    void mark(double from, double to, const std::string& what) {
        o_ << "<rect x='" << x(from) << "' y='" << top << "' width='"
           << std::max(1.0, x(std::min(to, seconds_)) - x(from)) << "' height='" << height - top - bottom
           << "' class='mark'><title>" << escaped(what) << "</title></rect>";
    }
    void line(const Line& l, const char* colour) {
        if (!l.low.empty()) {
            o_ << "<polygon fill='" << colour << "' fill-opacity='.15' points='";
            for (size_t k = 0; k < l.low.size(); ++k) point(k, l.low[k]);
            for (size_t k = l.high.size(); k-- > 0;) point(k, l.high[k]);
            o_ << "'/>";
        }
        o_ << "<polyline fill='none' stroke='" << colour << "' stroke-width='1.6' points='";
        for (size_t k = 0; k < l.y.size(); ++k) point(k, l.y[k]);
        o_ << "'><title>" << escaped(l.name) << "</title></polyline>";
    }
    std::string done() { return o_.str() + "</svg>"; }

   private:
    double x(double t) const { return left + (width - left - right) * std::min(t, seconds_) / seconds_; }
    double y(double v) const {
        return height - bottom - (height - top - bottom) * std::clamp(v / most_, 0.0, 1.0);
    }
    void point(size_t k, double v) {
        o_ << fixed(x((static_cast<double>(k) + 0.5) * each_), 1) << ',' << fixed(y(v), 1) << ' ';
    }
    double seconds_, most_, each_;
    std::ostringstream o_;
};

const char* action_word(ScheduledAction::What w) {
    constexpr std::array words{"dies",          "starts cold",  "vanishes",      "hangs",
                               "answers again", "speed",        "errors",        "full",
                               "drains",        "moves a part", "list: gone",    "list: draining",
                               "list: serving", "list silent",  "list garbled",  "list goes back",
                               "list sound",    "clients drop", "balancer dies", "balancer starts"};
    return words.at(static_cast<size_t>(w));
}

// Actions that are one incident's beginning or end, without the small steps between, as spans to shade.
void shade(Plot& plot, const Outcome& o) {
    using What = ScheduledAction::What;
    const auto later = [&](const ScheduledAction& from, What what) {
        for (const ScheduledAction& d : o.actions)
            if (d.at > from.at && d.what == what && d.target == from.target)
                return to_seconds(d.at - TimePoint{});
        return 1e9;
    };
    for (const ScheduledAction& d : o.actions) {
        const double from = to_seconds(d.at - TimePoint{});
        double to = 0;
        switch (d.what) {
            case What::die:
            case What::vanish: to = later(d, What::start_cold); break;
            case What::hang: to = later(d, What::answer_again); break;
            case What::speed:
            case What::errors:
            case What::full:
                if (d.size == (d.what == What::speed ? 1 : 0)) continue;
                to = later(d, d.what);
                break;
            case What::drain: to = later(d, What::die); break;
            case What::list_silent:
            case What::list_garbled:
            case What::list_back: to = later(d, What::list_sound); break;
            case What::balancer_dies: to = later(d, What::balancer_starts); break;
            case What::clients_drop: to = from + 0.3; break;
            default: continue;
        }
        plot.mark(from, to,
                  std::string(action_word(d.what)) + (d.target >= 0 ? " " + std::to_string(d.target) : ""));
    }
}

void shade_injections(Plot& plot, const Outcome& o) {
    for (const FaultInjection& s : o.injections)
        plot.mark(to_seconds(s.from - TimePoint{}),
                  std::max(to_seconds(s.until - TimePoint{}), to_seconds(s.from - TimePoint{}) + 0.3),
                  std::string(word(s.fault.kind)) + " " + fixed(s.fault.size, 2) + " at " +
                      std::to_string(s.balancers.size()) + " balancers");
}

struct Group {
    std::vector<const Outcome*> runs;
};

Line service_line(const std::string& name, const Group& g) {
    Line l;
    l.name = name;
    size_t seconds = 0;
    for (const Outcome* o : g.runs) seconds = std::max(seconds, o->asked_each.size());
    for (size_t s = 0; s < seconds; ++s) {
        std::vector<double> at;
        for (const Outcome* o : g.runs)
            if (s < o->asked_each.size() && o->asked_each[s] > 0)
                at.push_back(o->served_each[s] / o->asked_each[s]);
        l.y.push_back(mean_of(at).value);
        if (g.runs.size() > 1) l.low.push_back(quantile(at, 0)), l.high.push_back(quantile(at, 1));
    }
    return l;
}

std::string legend(const std::vector<std::string>& names) {
    std::string out = "<p class='legend'>";
    for (size_t k = 0; k < names.size(); ++k)
        out += "<span style='color:" + std::string(colours[k % colours.size()]) + "'>&#9632;</span> " +
               escaped(names[k]) + " ";
    return out + "</p>";
}

// A line a server, of what is sampled at equal steps.
std::string server_plot(const Outcome& o, const std::vector<std::vector<float>>& rows, double each) {
    double most = 1.2;
    for (const auto& row : rows)
        for (const float v : row)
            most = std::max(most, std::min(each < 1 ? 1e9 : 4.0, static_cast<double>(v)));
    Plot plot(static_cast<double>(rows.size()) * each, most, "", each);
    shade(plot, o);
    shade_injections(plot, o);
    const size_t servers = rows.empty() ? 0 : rows.front().size();
    constexpr size_t drawn_each = 40;  // beyond, quantiles say more than lines on top of each other
    if (servers <= drawn_each) {
        for (size_t k = 0; k < servers; ++k) {
            Line l;
            l.name = server_name(static_cast<int>(k));
            for (const auto& row : rows) l.y.push_back(k < row.size() ? std::max(0.f, row[k]) : 0);
            plot.line(l, colours[k % colours.size()]);
        }
        return plot.done();
    }
    Line l;
    l.name = "median, least and most";
    for (const auto& row : rows) {
        std::vector<double> all;
        for (const float v : row)
            if (v >= 0) all.push_back(static_cast<double>(v));
        l.y.push_back(quantile(all, 0.5)), l.low.push_back(quantile(all, 0)),
            l.high.push_back(quantile(all, 1));
    }
    plot.line(l, colours[0]);
    return plot.done();
}

std::string spread_table(const std::map<std::string, Group>& arms) {
    std::ostringstream o;
    o << "<table><tr><th>run, stretch<th>service<th>cv<th>of dice<th>seeing all<th>over dice<th>busiest / "
         "mean"
         "<th>worst<th>emptiest / mean<th>idle<th>herd<th>of dice";
    const auto row = [&](const std::string& name, const Spread& s, double service) {
        o << "<tr><td>" << escaped(name);
        for (const double v : {service, s.cv, s.dice, s.seeing, s.over_dice(), s.most, s.worst, s.least,
                               s.idle, s.herd, s.herd_dice})
            o << "<td>" << fixed(v, 3);
    };
    for (const auto& [arm, group] : arms)
        for (const Outcome* r : group.runs) {
            row(arm + ", seed " + std::to_string(r->seed), r->spread, r->service());
            for (const Outcome::Stretch& s : r->stretches)
                row(s.name + ", " + fixed(to_seconds(s.from - TimePoint{}), 0) + " to " +
                        fixed(to_seconds(s.until - TimePoint{}), 0) + " s",
                    s.spread, s.service);
            o << "<tr><td colspan='12'>messages " << fixed(r->datagrams, 2) << " datagrams, "
              << fixed(r->datagram_bytes, 1) << " bytes; CPU " << fixed(r->cpu * 1000, 2)
              << " ms a second and balancer; ended by themselves: " << r->ended_by_themselves;
        }
    return o.str() + "</table>";
}

/// The runs of one arm, summed up for its row of the table.
struct ArmSummary {
    std::vector<double> service, in_time, attempts, moves;
    uint64_t broken = 0;
    bool partial = false;
    std::set<std::string> unjudged;
};

ArmSummary summary_of(const Group& group) {
    ArmSummary all;
    for (const Outcome* r : group.runs) {
        const double requests = std::max<double>(1, static_cast<double>(r->requests));
        all.partial = all.partial || r->partial;
        if (!r->not_judged.empty()) all.unjudged.insert(r->not_judged);
        all.service.push_back(r->service());
        all.in_time.push_back(static_cast<double>(r->up_in_time) / requests);
        all.attempts.push_back(static_cast<double>(r->attempts) / requests);
        all.moves.push_back(static_cast<double>(r->moved) / requests);
        all.broken += r->rules_broken();
    }
    return all;
}

std::string arm_row(const std::string& arm, const ArmSummary& all) {
    const Mean m = mean_of(all.service);
    std::ostringstream o;
    o << "<tr><td>" << escaped(arm) << (all.partial ? " <span class='bad'>partial</span>" : "");
    for (const std::string& why : all.unjudged)
        o << " <span class='bad'>not judged: " << escaped(why) << "</span>";
    o << "<td>" << m.n << "<td>" << fixed(m.value, 4) << "<td>" << (m.n > 1 ? fixed(m.half, 4) : "") << "<td>"
      << fixed(quantile(all.service, 0), 4) << "<td>" << fixed(mean_of(all.in_time).value, 4) << "<td>"
      << fixed(mean_of(all.attempts).value, 3) << "<td>" << fixed(mean_of(all.moves).value, 3) << "<td"
      << (all.broken ? " class='bad'>" : ">") << all.broken;
    return o.str();
}

std::string delay_table(const std::map<std::string, Group>& arms) {
    std::ostringstream o;
    o << "<h3>Message delay, ms</h3><table><tr><th>arm, traffic type<th>median<th>95%<th>99%";
    for (const auto& [arm, group] : arms)
        for (size_t t = 0; t < group.runs.front()->delay_median.size(); ++t) {
            std::vector<double> a, b, c;
            for (const Outcome* r : group.runs) {
                if (t >= r->delay_median.size()) continue;
                a.push_back(to_seconds(r->delay_median[t]) * 1000);
                b.push_back(to_seconds(r->delay_95[t]) * 1000);
                c.push_back(to_seconds(r->delay_99[t]) * 1000);
            }
            o << "<tr><td>" << escaped(arm) << ", " << t << "<td>" << fixed(mean_of(a).value, 1) << "<td>"
              << fixed(mean_of(b).value, 1) << "<td>" << fixed(mean_of(c).value, 1);
        }
    o << "</table>";
    return o.str();
}

std::string example_list(const std::map<std::string, Group>& arms) {
    std::ostringstream o;
    for (const auto& [arm, group] : arms)
        for (const Outcome* r : group.runs)
            for (const std::string& e : r->examples)
                o << "<p class='bad'>" << escaped(arm) << ", seed " << r->seed << ": " << escaped(e)
                  << "</p>";
    return o.str();
}

std::string schedule_table(const Outcome& run) {
    std::ostringstream o;
    o << "<details><summary>What happened when, seed " << run.seed << "</summary><table>";
    for (const ScheduledAction& d : run.actions) {
        if (d.what == ScheduledAction::What::move_one_part) continue;
        o << "<tr><td>" << fixed(to_seconds(d.at - TimePoint{}), 1) << " s<td>" << action_word(d.what)
          << "<td>" << (d.target >= 0 ? std::to_string(d.target) : "") << "<td>"
          << (d.size != 0 ? fixed(d.size, 2) : "");
    }
    o << "</table></details>";
    return o.str();
}

/// The plots of the run that is looked at most closely: the one with the least service.
std::string worst_run(const Outcome& worst, const std::map<std::string, Group>& arms) {
    std::ostringstream o;
    o << "<h3>Work asked of each server over what it can do</h3><p>In the run with the least service: "
      << escaped(worst.arm) << ", seed " << worst.seed << ".</p>" << server_plot(worst, worst.use_each, 1);
    if (!worst.load_each.empty()) {
        o << "<h3>Load of each server for its weight</h3><p>In usual connections, twice a second, in the "
             "same "
             "run; faults shaded.</p>"
          << server_plot(worst, worst.load_each, to_seconds(spread_every)) << spread_table(arms);
    }
    return o.str();
}

/// One experiment on one place at one swept value, all arms side by side.
std::string section(const std::string& title, const std::map<std::string, Group>& arms) {
    std::ostringstream o;
    o << title
      << "</small></h2><table><tr><th>arm<th>runs<th>service<th>&plusmn; (95%)<th>least<th>up in "
         "time<th>legs a "
         "call<th>moves a call<th>rules broken";
    std::vector<std::string> names;
    std::vector<Line> lines;
    const Outcome* worst = nullptr;
    size_t seconds = 0;
    for (const auto& [arm, group] : arms) {
        o << arm_row(arm, summary_of(group));
        for (const Outcome* r : group.runs) {
            seconds = std::max(seconds, r->asked_each.size());
            if (!worst || r->service() < worst->service()) worst = r;
        }
        names.push_back(arm);
        lines.push_back(service_line(arm, group));
    }
    o << "</table><h3>Service over time</h3><p>Mean over the seeds; the band holds all of them. Shaded: "
         "what went "
         "wrong (hover).</p>"
      << legend(names);
    Plot plot(static_cast<double>(seconds), 1, "");
    if (worst) shade(plot, *worst), shade_injections(plot, *worst);
    for (size_t k = 0; k < lines.size(); ++k) plot.line(lines[k], colours[k % colours.size()]);
    o << plot.done();
    if (worst)
        o << worst_run(*worst, arms) << delay_table(arms) << example_list(arms) << schedule_table(*worst);
    return o.str();
}

constexpr const char* page_head =
    "<!doctype html><html lang='en'><meta charset='utf-8'><title>headrouter lab</title><style>"
    "body{font:14px/1.45 sans-serif;max-width:960px;margin:2em auto;padding:0 1em;color:#222}"
    "table{border-collapse:collapse}td,th{padding:.2em .7em;text-align:right;border-bottom:1px solid "
    "#ddd}"
    "td:first-child,th:first-child{text-align:left}svg{width:100%;font-size:11px;fill:#444}"
    ".grid{stroke:#e4e4e4}.mark{fill:#c8553d;fill-opacity:.08}.bad{color:#b00020;font-weight:bold}"
    ".legend{margin:.2em 0}</style><h1>headrouter lab</h1>";

}  // namespace

std::string report_html(const std::vector<Outcome>& outcomes, int cut_off) {
    std::ostringstream o;
    o << page_head;
    if (cut_off > 0) o << "<p class='bad'>The results end in the middle of a line: a run was cut off.</p>";
    std::map<std::tuple<std::string, std::string, double>, std::map<std::string, Group>> sets;
    std::vector<std::tuple<std::string, std::string, double>> order;
    for (const Outcome& out : outcomes) {
        const auto key = std::tuple{out.experiment, out.on, out.swept};
        if (!sets.contains(key)) order.push_back(key);
        sets[key][out.arm].runs.push_back(&out);
    }
    if (order.empty()) o << "<p>No runs.</p>";
    for (const auto& key : order) {
        const auto& [experiment, on, swept] = key;
        std::ostringstream title;
        title << "<h2>" << escaped(experiment) << " <small>on "
              << (on == "model" ? "the model" : "sockets, stand-in servers");
        if (swept != 0) title << ", swept value " << swept;
        o << section(title.str(), sets[key]);
    }
    o << "</html>\n";
    return o.str();
}

}  // namespace headrouter::experiments
