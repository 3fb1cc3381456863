#include "control/membership.h"
#include "control/reducer.h"

#include <algorithm>
#include <iostream>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include <tclap/CmdLine.h>

/// Simulates gossip membership in virtual time and measures the detection time of a dead host, the
/// number of live hosts declared dead and the bytes sent, by size of the failure domain, number of
/// domains and datagram loss. Prints CSV.
namespace {

using namespace almondquay;

struct fleet_shape {
    int domains = 0;
    int hosts_per_domain = 0;
    double loss = 0;
    std::int64_t seconds = 180;
};

/// Maximum number of false deaths that are printed; further ones are only counted.
constexpr std::size_t max_printed_false_deaths = 300;

struct sent_datagram {
    std::int64_t at = 0;
    std::size_t to = 0;
    gossip_message message;
};

struct later {
    bool operator()(const sent_datagram& a, const sent_datagram& b) const { return a.at > b.at; }
};

struct outcome {
    std::int64_t near_detected_ms = -1; ///< at the last host in the dead host's domain
    std::int64_t far_detected_ms = -1;  ///< at the last host in the other domains
    std::size_t false_deaths = 0;
    double bytes_per_host_s = 0;
};

std::string make_text(const fleet_shape& shape)
{
    std::string text = "[fleet]\nname = size\n[region r]\n[service s]\n";
    for (int d = 0; d < shape.domains; ++d) {
        text += "[failure_domain d" + std::to_string(d) + "]\nregion = r\n";
        for (int h = 0; h < shape.hosts_per_domain; ++h) {
            text += "[host domain-" + std::to_string(d) + "-" + std::to_string(h) +
                    "]\nfailure_domain = d" + std::to_string(d) + "\naddress = 127.2." +
                    std::to_string(d) + "." + std::to_string(h + 1) + "\n";
        }
    }
    return text;
}

std::size_t index_of(const fleet_shape& shape, const endpoint& e)
{
    const auto last = e.address.rfind('.');
    const auto middle = e.address.rfind('.', last - 1);
    const auto d = std::stoul(e.address.substr(middle + 1, last - middle - 1));
    const auto h = std::stoul(e.address.substr(last + 1)) - 1;
    return d * static_cast<std::size_t>(shape.hosts_per_domain) + h;
}

event at(std::int64_t ms, event_body body)
{
    return {std::move(body), monotonic_time(std::chrono::milliseconds(ms)),
            wall_time(std::chrono::milliseconds(1'800'000'000'000 + ms))};
}

class simulation {
public:
    explicit simulation(const fleet_shape& shape) : shape_(shape)
    {
        const fleet_envelope envelope{generation(1), make_text(shape), {}, "op", "why", 0};
        const stored_object object{"fleet", 1, encode(envelope)};
        for (int d = 0; d < shape.domains; ++d) {
            for (int h = 0; h < shape.hosts_per_domain; ++h) {
                const auto name = "domain-" + std::to_string(d) + "-" + std::to_string(h);
                hosts_.push_back(make_control_state({host_id(name),
                                                     failure_domain_id("d" + std::to_string(d)),
                                                     incarnation(1'800'000'000'000),
                                                     {}},
                                                    hosts_.size() + 1));
                apply_event(hosts_.size() - 1, fleet_read_event{object});
            }
        }
    }

    outcome run()
    {
        constexpr std::int64_t death_ms = 60'000;
        const std::int64_t end_ms = shape_.seconds * 1'000;
        for (now_ = 250; now_ < end_ms; now_ += 250) {
            dead_host_ = now_ >= death_ms ? 0 : hosts_.size();
            for (std::size_t i = 0; i < hosts_.size(); ++i) {
                if (is_running(i)) {
                    apply_event(i, tick_event{});
                }
            }
            deliver();
            record_detection(death_ms);
        }
        result_.bytes_per_host_s = static_cast<double>(bytes_) * 1'000.0 /
                                   static_cast<double>(end_ms) / static_cast<double>(hosts_.size());
        return result_;
    }

private:
    bool is_running(std::size_t i) const { return i != dead_host_; }

    void apply_event(std::size_t i, event_body body)
    {
        for (auto& e : reduce(hosts_[i], at(now_, std::move(body)))) {
            if (auto* gossip = std::get_if<send_gossip_effect>(&e)) {
                constexpr std::size_t ip_and_udp_headers = 28;
                bytes_ += encode(gossip->message, secret_).size() + ip_and_udp_headers;
                if (std::bernoulli_distribution(shape_.loss)(random_)) {
                    continue;
                }
                const auto to = index_of(shape_, gossip->peer);
                sent_datagrams_.push({now_ + 1, to, std::move(gossip->message)});
            } else if (const auto* record = std::get_if<record_effect>(&e)) {
                const bool is_death = record->made.kind == "host_dead";
                const bool is_true = record->made.summary.find("Host domain-0-0 ") == 0;
                const bool is_false = is_death && !(is_true && dead_host_ == 0);
                result_.false_deaths += is_false ? 1 : 0;
                if (is_false && result_.false_deaths <= max_printed_false_deaths) {
                    std::cerr << now_ << " ms, at " << record->made.host << ": "
                              << record->made.summary << ' ' << record->made.inputs.at(1).value
                              << " ms without a heartbeat\n";
                }
            }
        }
    }

    void deliver()
    {
        while (!sent_datagrams_.empty()) {
            const auto next = sent_datagrams_.top();
            sent_datagrams_.pop();
            if (is_running(next.to)) {
                apply_event(next.to, gossip_event{next.message});
            }
        }
    }

    void record_detection(std::int64_t death_ms)
    {
        if (now_ < death_ms) {
            return;
        }
        bool near = true;
        bool far = true;
        for (std::size_t i = 1; i < hosts_.size(); ++i) {
            const auto found = hosts_[i].membership.members.find(host_id("domain-0-0"));
            const bool has_detected =
                found == hosts_[i].membership.members.end() || !found->second.alive;
            const bool is_near = i < static_cast<std::size_t>(shape_.hosts_per_domain);
            (is_near ? near : far) = (is_near ? near : far) && has_detected;
        }
        if (near && result_.near_detected_ms < 0) {
            result_.near_detected_ms = now_ - death_ms;
        }
        if (far && result_.far_detected_ms < 0) {
            result_.far_detected_ms = now_ - death_ms;
        }
    }

    fleet_shape shape_;
    shared_secret secret_{"a secret for measuring"};
    std::vector<control_state> hosts_;
    std::priority_queue<sent_datagram, std::vector<sent_datagram>, later> sent_datagrams_;
    std::mt19937_64 random_{7};
    std::int64_t now_ = 0;
    /// Index of the dead host; not a valid index while no host is dead.
    std::size_t dead_host_ = static_cast<std::size_t>(-1);
    std::size_t bytes_ = 0;
    outcome result_;
};

} // namespace

int main(int argc, char** argv)
{
    std::vector<fleet_shape> shapes{{6, 2, 0},  {6, 2, 0.1}, {6, 4, 0},  {1, 10, 0},   {1, 20, 0},
                                    {10, 5, 0}, {6, 11, 0},  {9, 22, 0}, {9, 22, 0.1}, {40, 20, 0}};
    TCLAP::CmdLine command_line("membership_benchmark: all shapes, or one");
    TCLAP::ValueArg<int> domains("", "domains", "failure domains", false, 0, "N", command_line);
    TCLAP::ValueArg<int> hosts("", "hosts", "hosts per failure domain", false, 2, "N",
                               command_line);
    TCLAP::ValueArg<double> loss("", "loss", "fraction of datagrams lost", false, 0, "PART",
                                 command_line);
    TCLAP::ValueArg<std::int64_t> seconds("", "seconds", "virtual time to simulate", false, 180,
                                          "N", command_line);
    command_line.parse(argc, argv);
    if (domains.isSet()) {
        shapes = {{domains.getValue(), hosts.getValue(), loss.getValue(), seconds.getValue()}};
    }
    std::cout << "kind,domains,hosts_per_domain,loss,seconds,near_detected_ms,far_detected_ms,"
                 "false_deaths,bytes_per_host_s\n";
    for (const auto& shape : shapes) {
        const auto result = simulation(shape).run();
        std::cout << "membership," << shape.domains << ',' << shape.hosts_per_domain << ','
                  << shape.loss << ',' << shape.seconds << ',' << result.near_detected_ms << ','
                  << result.far_detected_ms << ',' << result.false_deaths << ','
                  << result.bytes_per_host_s << std::endl;
    }
    return 0;
}
