#include <csignal>
#include <iostream>

#include <boost/asio/signal_set.hpp>

#include "world.h"

namespace asio = boost::asio;

namespace review {
namespace {

constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

constexpr milliseconds startLimit{15000};

/// Common course of the scenarios: starts the hosts, runs run() once all are in rotation, and
/// judges when run() has ended.
class scenario
{
public:
    scenario(world &surroundings, bool hasTrouble)
        : m_world(surroundings)
        , m_hasTrouble(hasTrouble)
    {
    }
    virtual ~scenario() = default;

    int play()
    {
        build();
        m_world.writeConfig();
        m_world.startHosts();
        waitUntilReady();
        asio::signal_set signals(m_world.io, SIGTERM, SIGINT);
        signals.async_wait([this](boost::system::error_code error, int) {
            if (!error) {
                m_result = couldNotRun;
                m_world.io.stop();
            }
        });
        m_world.io.run();
        return m_result;
    }

protected:
    virtual void build() = 0;
    virtual void run() = 0;
    /// Whether the rule held.
    virtual bool judge() = 0;

    void endAt(milliseconds time)
    {
        m_world.after(time, [this] {
            m_result = judge() ? ruleHeld : ruleBroken;
            m_world.io.stop();
        });
    }

    /// The platform starts a process again, @p time after it ended.
    void restart(host &item, milliseconds time)
    {
        if (item.hasEnded()) {
            m_world.after(time, [&item] { item.start(); });
        } else {
            m_world.after(milliseconds(10), [this, &item, time] { restart(item, time); });
        }
    }

    world &m_world;
    bool m_hasTrouble;

private:
    void waitUntilReady()
    {
        if (m_world.areAllReady()) {
            m_world.note("all hosts are in rotation");
            m_world.after(milliseconds(2000), [this] { run(); });
        } else if (m_world.seconds() * 1000 > double(startLimit.count())) {
            m_world.note("the hosts did not get ready");
            m_world.io.stop();
        } else {
            m_world.after(milliseconds(100), [this] { waitUntilReady(); });
        }
    }

    int m_result = couldNotRun;
};

/// A scenario with one service, whose requests come in flows of their own. Judges FAILBACK.
class warm_up_scenario : public scenario
{
public:
    using scenario::scenario;

protected:
    static constexpr double requestsPerSecond = 450;
    static constexpr double warmupPerSecond = 4;
    static constexpr double warmupOvershoot = 1.5;
    static constexpr double warmupSlack = 5;
    static constexpr milliseconds warmupTime{2000};

    void buildService()
    {
        m_world.services = {{"catalogue", 4, milliseconds(5), warmupPerSecond}};
        m_world.routes = {{"price-sheet", "catalogue", 443, "download"}};
    }

    void buildZone(const std::string &zone, unsigned hosts)
    {
        for (unsigned number = 1; number <= hosts; ++number) {
            m_world.addHost("frontend-" + zone + "-" + std::to_string(number), zone);
        }
        for (unsigned number = 0; number < 8; ++number) {
            m_clients.emplace_back(zone, m_world.addClient());
        }
    }

    void sendNext()
    {
        const auto &[zone, address] = m_clients[m_sent % m_clients.size()];
        const auto port = static_cast<std::uint16_t>(20000 + m_sent / m_clients.size());
        m_world.openFlow(zone, address, port, m_world.routes.front(),
                         "request-" + std::to_string(m_sent), true);
        ++m_sent;
        const double wait = std::exponential_distribution<double>(requestsPerSecond)(m_random);
        m_world.after(milliseconds(static_cast<std::int64_t>(wait * 1000)), [this] { sendNext(); });
    }

    bool judge() override
    {
        const double limit = warmupPerSecond * warmupOvershoot + warmupSlack;
        std::size_t most = 0;
        std::size_t cold = 0;
        steady::time_point worst;
        for (const opening &first : m_world.openings) {
            if (!first.isCold) {
                continue;
            }
            ++cold;
            std::size_t count = 0;
            const steady::time_point end = first.arrivedAt;
            const steady::time_point begin = end - std::chrono::seconds(1);
            for (const opening &other : m_world.openings) {
                const bool isInside = other.sentAt >= begin && other.arrivedAt <= end;
                count += other.isCold && other.target == first.target && isInside ? 1 : 0;
            }
            if (count > most) {
                most = count;
                worst = end;
            }
        }
        const auto answered = static_cast<std::size_t>(
            std::count_if(m_world.openings.begin(), m_world.openings.end(),
                          [](const opening &item) { return !item.isCold; }));
        m_world.note("sent " + std::to_string(m_sent) + " requests; opened "
                     + std::to_string(answered) + " at the warm target, " + std::to_string(cold)
                     + " at the cold one");
        for (const opening &item : m_world.openings) {
            if (item.isCold) {
                m_world.note("cold target " + item.target + " took a flow of client port "
                             + std::to_string(std::get<1>(item.key)) + ", sent at "
                             + offset(item.sentAt) + ", arrived at " + offset(item.arrivedAt));
            }
        }
        m_world.note("most requests of a second, sent and arrived inside it: "
                     + std::to_string(most) + ", limit " + std::to_string(limit));
        return double(most) <= limit;
    }

    std::string offset(steady::time_point time) const
    {
        const double ago = std::chrono::duration<double>(steady::now() - time).count();
        return std::to_string(m_world.seconds() - ago);
    }

private:
    std::vector<std::pair<std::string, std::uint32_t>> m_clients;
    std::size_t m_sent = 0;
    std::mt19937_64 m_random{std::random_device{}()};
};

/// The only target of a service is replaced: the new one starts cold, the old one drains. With
/// trouble, more than half of the hosts are killed meanwhile and start again.
class cold_start : public warm_up_scenario
{
public:
    using warm_up_scenario::warm_up_scenario;

private:
    // 5 of 9, a share of 0.55: one of each zone, and the other one of the new target's zone.
    static constexpr std::array<std::size_t, 5> killedHosts{0, 3, 4, 5, 7};

    void build() override
    {
        buildService();
        buildZone("mobile-bay", 3);
        buildZone("biloxi", 2);
        buildZone("pensacola", 2);
        buildZone("baton-rouge", 2);
        m_world.addTarget("catalogue", "mobile-bay", milliseconds(0));
    }

    void run() override
    {
        sendNext();
        m_world.after(milliseconds(6000),
                      [this] { m_world.addTarget("catalogue", "biloxi", warmupTime); });
        m_world.after(milliseconds(6300), [this] { m_world.targets.front()->drain(); });
        if (m_hasTrouble) {
            m_world.after(milliseconds(6500), [this] { killHosts(); });
        }
        m_world.after(milliseconds(11000), [this] { m_world.targets.front()->leave(); });
        endAt(milliseconds(14000));
    }

    void killHosts()
    {
        for (const std::size_t index : killedHosts) {
            host &item = *m_world.hosts[index];
            item.signal(SIGKILL);
            restart(item, milliseconds(400));
        }
    }
};

/// A zone is evacuated and taken back; its targets become cold shortly before that and say so with
/// their next heartbeat.
class taken_back : public warm_up_scenario
{
public:
    using warm_up_scenario::warm_up_scenario;

protected:
    /// The time from when the targets become cold until the zone is taken back.
    static constexpr milliseconds coldBefore{100};

    /// Calls disturb() in time for it to take effect at the take-back, if there is trouble.
    virtual milliseconds disturbBefore() const = 0;
    virtual void disturb() = 0;

private:
    void build() override
    {
        buildService();
        buildZone("mobile-bay", 2);
        buildZone("biloxi", 2);
        for (const char *zone : {"mobile-bay", "mobile-bay", "biloxi", "biloxi"}) {
            m_world.addTarget("catalogue", zone, milliseconds(0));
        }
    }

    void run() override
    {
        sendNext();
        m_world.after(milliseconds(4000), [this] {
            m_world.note("mobile-bay is evacuated");
            m_world.platformStore->put("op/evacuate/mobile-bay", "{}");
        });
        m_world.after(milliseconds(7000),
                      [this] { m_world.targets[1]->onHeartbeat = [this] { plan(); }; });
        endAt(milliseconds(14000));
    }

    /// Called with a heartbeat of the zone's targets: they become cold after the next but one.
    void plan()
    {
        const milliseconds chillAt = target::heartbeatInterval * 2 + milliseconds(20);
        const milliseconds takeBackAt = chillAt + coldBefore;
        m_world.after(chillAt, [this] {
            for (std::size_t index = 0; index < 2; ++index) {
                m_world.targets[index]->becomeCold(warmupTime);
            }
        });
        if (m_hasTrouble) {
            m_world.after(takeBackAt - disturbBefore(), [this] { disturb(); });
        }
        m_world.after(takeBackAt, [this] {
            m_world.note("mobile-bay is taken back");
            m_world.platformStore->remove("op/evacuate/mobile-bay");
        });
    }
};

/// With trouble, a host of the zone is stopped and started again meanwhile.
class taken_back_in_roll : public taken_back
{
public:
    using taken_back::taken_back;

private:
    // A stopped host needs 1.3 s to end, and the platform some time to start it again.
    milliseconds disturbBefore() const override { return milliseconds(1400); }

    void disturb() override
    {
        m_world.hosts.front()->signal(SIGTERM);
        restart(*m_world.hosts.front(), milliseconds(300));
    }
};

/// With trouble, the store forgets its history around the take-back: watches hear nothing for a
/// second, then the history is dropped and they are cut.
class taken_back_unseen : public taken_back
{
public:
    using taken_back::taken_back;

private:
    milliseconds disturbBefore() const override { return milliseconds(600); }

    void disturb() override
    {
        m_world.note("watches hear nothing from now on");
        m_world.platformStore->silenceWatches();
        m_world.after(milliseconds(1000), [this] {
            m_world.note("the store drops its history and cuts watches");
            m_world.platformStore->dropHistory();
        });
    }
};

/// With trouble, a target crashes and starts again under its id, cold, while the store forgets its
/// history. The machine that reads the store for the others also owns the target.
class restarted_unseen : public warm_up_scenario
{
public:
    using warm_up_scenario::warm_up_scenario;

private:
    // With the machines' names below, frontend-mobile-bay-1 is the reader and owns this id.
    static constexpr std::uint64_t crashingId = 0x5c1e0001;

    void build() override
    {
        buildService();
        buildZone("mobile-bay", 2);
        buildZone("biloxi", 2);
        m_world.addTarget("catalogue", "mobile-bay", milliseconds(0), crashingId);
        m_world.addTarget("catalogue", "biloxi", milliseconds(0));
    }

    void run() override
    {
        sendNext();
        if (m_hasTrouble) {
            m_world.after(milliseconds(6000), [this] {
                m_world.targets.front()->crash();
                m_world.note("watches hear nothing from now on");
                m_world.platformStore->silenceWatches();
            });
            m_world.after(milliseconds(6500), [this] {
                m_world.note("the configuration changes");
                m_world.writeConfig();
            });
            m_world.after(milliseconds(7000), [this] {
                m_world.note("the store drops its history and cuts watches");
                m_world.platformStore->dropHistory();
            });
            m_world.after(milliseconds(7100),
                          [this] { m_world.targets.front()->restartCold(warmupTime); });
        }
        endAt(milliseconds(12000));
    }
};

/// Clients keep flows open for some seconds, close them, and half a minute later open new ones from
/// the same ports. With trouble, a host is stopped and started during the first flows and again
/// during the second ones. Judges FLOW.
class reused_ports : public scenario
{
public:
    using scenario::scenario;

private:
    static constexpr unsigned clientCount = 4;
    static constexpr unsigned portsPerClient = 12;
    static constexpr milliseconds requestInterval{250};
    static constexpr milliseconds restartTime{1000};

    struct life
    {
        std::shared_ptr<client_flow> flow;
        milliseconds closesAfter{0};
        unsigned requests = 0;
        bool isSecond = false;
    };

    void build() override
    {
        m_world.services = {{"order-desk", 4, milliseconds(20), 0}};
        m_world.routes = {{"stock-query", "order-desk", 443, "safe"}};
        for (unsigned number = 1; number <= 3; ++number) {
            m_world.addHost("frontend-mobile-bay-" + std::to_string(number), "mobile-bay");
        }
        for (unsigned number = 0; number < 4; ++number) {
            m_world.addTarget("order-desk", "mobile-bay", milliseconds(0));
        }
        for (unsigned number = 0; number < clientCount; ++number) {
            m_clients.push_back(m_world.addClient());
        }
    }

    void run() override
    {
        m_world.after(milliseconds(2000), [this] { restartHost(); });
        m_world.after(milliseconds(2200), [this] { openFirst(); });
        openAll(milliseconds(50000), milliseconds(12000), true);
        m_world.after(milliseconds(54000), [this] { restartHost(); });
        endAt(milliseconds(66000));
    }

    /// Opens the first flows while the stopped host is out of rotation.
    void openFirst()
    {
        if (m_hasTrouble && m_world.hosts.front()->isInRotation) {
            m_world.after(milliseconds(20), [this] { openFirst(); });
        } else {
            openAll(milliseconds(0), milliseconds(6000), false);
        }
    }

    void restartHost()
    {
        if (m_hasTrouble) {
            m_world.hosts.front()->signal(SIGTERM);
            restart(*m_world.hosts.front(), restartTime);
        }
    }

    void openAll(milliseconds at, milliseconds closesAfter, bool areSecond)
    {
        for (const std::uint32_t address : m_clients) {
            for (unsigned number = 0; number < portsPerClient; ++number) {
                const auto port = static_cast<std::uint16_t>(30000 + number);
                m_world.after(at + milliseconds(number * 10),
                              [this, address, port, closesAfter, areSecond] {
                                  open(address, port, closesAfter, areSecond);
                              });
            }
        }
    }

    void open(std::uint32_t address, std::uint16_t port, milliseconds closesAfter, bool isSecond)
    {
        const std::string id = std::to_string(address % 256) + "-" + std::to_string(port)
            + (isSecond ? "-second-" : "-first-");
        const auto item = std::make_shared<life>();
        item->isSecond = isSecond;
        item->flow =
            m_world.openFlow("mobile-bay", address, port, m_world.routes.front(), id + "0", false);
        const steady::time_point closesAt = steady::now() + closesAfter;
        item->flow->onAnswer = [this, item = item.get(), id, closesAt](client_flow &) {
            m_world.after(requestInterval, [item, id, closesAt] {
                if (item->flow->phase == client_flow::state::open) {
                    item->flow->request(id + std::to_string(++item->requests),
                                        steady::now() >= closesAt);
                }
            });
        };
        m_lives.push_back(item);
    }

    bool judge() override
    {
        std::size_t broken = 0;
        std::map<client_flow::state, std::size_t> states;
        for (const auto &item : m_lives) {
            ++states[item->flow->phase];
            if (item->flow->phase == client_flow::state::reset) {
                const std::string sender = senderName(item->flow->resetBy);
                const bool isForeign = sender != item->flow->openAt;
                broken += isForeign ? 1 : 0;
                m_world.note(std::string(item->isSecond ? "second" : "first")
                             + " flow of client port "
                             + std::to_string(std::get<1>(item->flow->key())) + ", open at "
                             + item->flow->openAt + ", was reset by " + sender + " after "
                             + std::to_string(item->flow->answers) + " answers");
            }
        }
        m_world.note("flows: " + std::to_string(states[client_flow::state::closed]) + " closed, "
                     + std::to_string(states[client_flow::state::reset]) + " reset, "
                     + std::to_string(states[client_flow::state::failed]) + " not opened, "
                     + std::to_string(states[client_flow::state::open]) + " still open");
        m_world.note("flows reset by another than their target: " + std::to_string(broken));
        return broken == 0;
    }

    std::string senderName(const std::string &address) const
    {
        for (const auto &item : m_world.targets) {
            if (item->address() == address) {
                return item->name();
            }
        }
        return address;
    }

    std::vector<std::uint32_t> m_clients;
    std::vector<std::shared_ptr<life>> m_lives;
};

} // namespace
} // namespace review

/// Arguments: the scenario, the released program, a temporary folder, the file to record to, and 0
/// to leave the disruption out.
int main(int count, char **arguments)
{
    if (count != 6) {
        std::cerr << "usage: world SCENARIO PROGRAM FOLDER RECORD TROUBLE\n";
        return 2;
    }
    try {
        boost::asio::io_context io;
        review::world surroundings(io, arguments[2], arguments[3], arguments[4]);
        const std::string name = arguments[1];
        const bool hasTrouble = std::string(arguments[5]) != "0";
        std::unique_ptr<review::scenario> played;
        if (name == "cold-start") {
            played = std::make_unique<review::cold_start>(surroundings, hasTrouble);
        } else if (name == "taken-back-in-roll") {
            played = std::make_unique<review::taken_back_in_roll>(surroundings, hasTrouble);
        } else if (name == "taken-back-unseen") {
            played = std::make_unique<review::taken_back_unseen>(surroundings, hasTrouble);
        } else if (name == "restarted-unseen") {
            played = std::make_unique<review::restarted_unseen>(surroundings, hasTrouble);
        } else if (name == "reused-ports") {
            played = std::make_unique<review::reused_ports>(surroundings, hasTrouble);
        } else {
            std::cerr << "unknown scenario\n";
            return 2;
        }
        return played->play();
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
}
