#include <array>
#include <functional>
#include <iomanip>
#include <iostream>
#include <map>

#include <boost/leaf.hpp>
#include <sodium.h>

#include "command_options.h"
#include "figstair/cli/commands.h"
#include "figstair/core/gate/flow_token.h"
#include "figstair/host/process_settings.h"
#include "figstair/host/system_clock_source.h"
#include "figstair/store/etcd_gateway_store.h"
#include "figstair/store/table_store.h"
#include "figstair/table/change_planner.h"
#include "figstair/table/sheet.h"

namespace leaf = boost::leaf;
namespace po = boost::program_options;

namespace figstair {
namespace {

constexpr int maxCommitAttempts = 8;
constexpr std::size_t editIdBytes = 16;

/// Allowance for clock skew between hosts and for packets that are still in transit.
constexpr milliseconds quarantineMargin{3600 * 1000};

std::string makeEditId()
{
    std::array<unsigned char, editIdBytes> bytes{};
    randombytes_buf(bytes.data(), bytes.size());
    std::array<char, editIdBytes * 2 + 1> text{};
    sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
    return text.data();
}

/// How long the address of a removed upstream stays reserved: until tokens that name it have
/// expired and no host uses a table that still lists it.
milliseconds quarantineDuration(const process_settings &settings)
{
    return std::max(settings.host.tokenLifetime, settings.host.maxTableAge) + quarantineMargin;
}

leaf::result<process_settings> loadSettings(const std::string &fileName)
{
    BOOST_LEAF_AUTO(text, readTextFile(fileName));
    return parseSettings(fileName, text);
}

leaf::result<sheet> loadSheet(const std::string &fileName)
{
    BOOST_LEAF_AUTO(text, readTextFile(fileName));
    return parseSheet(fileName, text);
}

/// Runs @p action. Prints an error message and returns the matching exit code when it fails.
int runAndReportErrors(const std::function<leaf::result<int>()> &action)
{
    const auto fail = [](int code, const std::string &text) {
        std::cerr << text << "\n";
        return code;
    };
    return leaf::try_handle_all(
        action, [&](const settings_error &error) { return fail(exitBadInput, toText(error)); },
        [&](const sheet_error &error) { return fail(exitBadInput, toText(error)); },
        [&](const edit_conflict &conflict) {
            std::string text = "conflict: the sheet is based on revision "
                + std::to_string(conflict.baseRevision) + "; other edits up to revision "
                + std::to_string(conflict.currentRevision) + " changed the same rows:";
            for (const std::string &key : conflict.rowKeys) {
                text += "\n  " + key;
            }
            return fail(exitConflict, text);
        },
        [&](const address_in_quarantine &error) {
            return fail(exitConflict,
                        "address " + error.address + " is reserved for service " + error.service
                            + " for another " + std::to_string(error.remaining.count())
                            + " ms, because packets of its former flows may still arrive");
        },
        [&](const platform_error &error) {
            return fail(exitPlatform, "platform: " + error.call + ": " + error.problem);
        },
        [&](const stored_table_error &error) {
            return fail(exitPlatform, "platform: " + error.key + ": " + error.problem);
        },
        [&](const chain_error &error) {
            return fail(exitPlatform,
                        "platform: revision " + std::to_string(error.offeredRevision) + " "
                            + error.problem);
        },
        [&] { return fail(exitPlatform, "unexpected error"); });
}

void printChanges(const std::vector<row_change> &changes)
{
    for (const row_change &change : changes) {
        const bool isRemoval = change.isPurge || change.row.state == row_state::retired;
        std::cout << (isRemoval ? "remove " : "put    ") << rowKey(change.row);
        if (!isRemoval) {
            const std::vector<std::string> cells = toSheetCells(change.row);
            for (std::size_t index = 1; index < cells.size(); ++index) {
                if (!cells[index].empty()) {
                    std::cout << " " << sheetColumns()[index] << "=" << cells[index];
                }
            }
        }
        std::cout << "\n";
    }
}

/// Reads and edits the table that the platform stores.
class table_session
{
public:
    explicit table_session(process_settings settings)
        : m_settings(std::move(settings))
        , m_platformStore(m_settings.platform, m_settings.platformTimeout)
        , m_tableStore(m_platformStore)
    {
    }

    leaf::result<int> diff(const sheet &wanted)
    {
        BOOST_LEAF_AUTO(current, m_tableStore.loadTable());
        BOOST_LEAF_AUTO(changes, plan(wanted, current));
        printChanges(changes);
        return changes.empty() ? exitSuccess : exitDiffers;
    }

    leaf::result<int> apply(const sheet &wanted, const std::string &author)
    {
        return commitWithRetry(author, [&](const table &current) { return plan(wanted, current); });
    }

    leaf::result<int> rotateKey(const std::string &author)
    {
        return commitWithRetry(author,
                               [&](const table &current) -> leaf::result<std::vector<row_change>> {
                                   return planner().planKeyRotation(
                                       current, makeSealedKey(m_settings.host.peerSecret));
                               });
    }

    leaf::result<int> show(std::uint64_t revision)
    {
        BOOST_LEAF_AUTO(current, m_tableStore.loadTable(revision));
        std::cout << formatSheet(current.revision(), current.rows());
        return exitSuccess;
    }

    leaf::result<int> history(std::uint64_t count)
    {
        BOOST_LEAF_AUTO(head, m_tableStore.loadHead());
        const std::uint64_t first = head.revision - std::min(head.revision, count);
        BOOST_LEAF_AUTO(edits, m_tableStore.loadEdits(first, count));
        for (const table_edit &edit : edits) {
            std::cout << "revision=" << edit.revision
                      << " at_ms=" << edit.acceptedAt.time_since_epoch().count()
                      << " author=" << edit.author << " edit=" << edit.editId
                      << " changes=" << edit.changes.size() << "\n";
        }
        return exitSuccess;
    }

private:
    using change_source =
        std::function<leaf::result<std::vector<row_change>>(const table &current)>;

    change_planner planner() const
    {
        return change_planner(m_clock.wall(), quarantineDuration(m_settings));
    }

    leaf::result<std::vector<row_change>> plan(const sheet &wanted, const table &current)
    {
        if (wanted.baseRevision == current.revision()) {
            return planner().plan(wanted, current, current);
        }
        table base;
        if (wanted.baseRevision > 0) {
            BOOST_LEAF_ASSIGN(base, m_tableStore.loadTable(wanted.baseRevision));
        }
        return planner().plan(wanted, base, current);
    }

    /// Commits the changes that @p source plans against the current table, and plans them again
    /// when a concurrent edit wins. Prints the new revision, or the current one when there is
    /// nothing to change. Fails with platform_error after maxCommitAttempts.
    leaf::result<int> commitWithRetry(const std::string &author, const change_source &source)
    {
        const std::string editId = makeEditId();
        for (int attempt = 0; attempt < maxCommitAttempts; ++attempt) {
            BOOST_LEAF_AUTO(head, m_tableStore.loadHead());
            BOOST_LEAF_AUTO(current, m_tableStore.loadTable());
            if (current.revision() != head.revision) {
                continue;
            }
            BOOST_LEAF_AUTO(changes, source(current));
            if (changes.empty()) {
                std::cout << "revision=" << current.revision() << " changes=0\n";
                return exitSuccess;
            }
            addFirstKey(current, changes);
            table_edit edit{current.revision() + 1, current.digest(),  editId, author,
                            m_clock.wall(),         std::move(changes)};
            BOOST_LEAF_AUTO(outcome, m_tableStore.commit(head, edit));
            if (outcome == commit_outcome::accepted) {
                printChanges(edit.changes);
                std::cout << "revision=" << edit.revision << " changes=" << edit.changes.size()
                          << "\n";
                BOOST_LEAF_AUTO(accepted, m_tableStore.loadTable(edit.revision));
                BOOST_LEAF_CHECK(m_tableStore.saveSnapshotIfDue(accepted));
                return exitSuccess;
            }
        }
        return leaf::new_error(platform_error{"txn", "concurrent edits won at every attempt"});
    }

    /// Adds a flow-token key to the first edit of a table that has none.
    void addFirstKey(const table &current, std::vector<row_change> &changes) const
    {
        const bool hasKey =
            std::any_of(changes.begin(), changes.end(),
                        [](const row_change &change) { return change.row.kind == row_kind::key; });
        if (current.keys().empty() && !hasKey) {
            const auto keys =
                planner().planKeyRotation(current, makeSealedKey(m_settings.host.peerSecret));
            changes.push_back(keys.front());
        }
    }

    process_settings m_settings;
    system_clock_source m_clock;
    etcd_gateway_store m_platformStore;
    table_store m_tableStore;
};

int runSheetCommand(const arguments &args, const std::string &title, bool isApply)
{
    po::options_description description(title);
    description.add_options()("file", po::value<std::string>()->required(), "sheet file (CSV)")(
        "settings", po::value<std::string>()->required(),
        "settings file of any host")("author", po::value<std::string>()->default_value("operator"),
                                     "author of the edit, shown by history");
    const command_options options(args, description, "file");
    if (options.helpWasPrinted()) {
        return exitSuccess;
    }
    return runAndReportErrors([&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(settings, loadSettings(options.get<std::string>("settings")));
        BOOST_LEAF_AUTO(wanted, loadSheet(options.get<std::string>("file")));
        table_session session(settings);
        return isApply ? session.apply(wanted, options.get<std::string>("author"))
                       : session.diff(wanted);
    });
}

int runCheck(const arguments &args)
{
    po::options_description description("figstair table check FILE.csv");
    description.add_options()("file", po::value<std::string>()->required(), "sheet file (CSV)");
    const command_options options(args, description, "file");
    if (options.helpWasPrinted()) {
        return exitSuccess;
    }
    return runAndReportErrors([&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(read, loadSheet(options.get<std::string>("file")));
        std::cout << read.fileName << ": " << read.rows.size() << " rows are valid\n";
        return exitSuccess;
    });
}

int runDiff(const arguments &args)
{
    return runSheetCommand(args, "figstair table diff FILE.csv", false);
}

int runApply(const arguments &args)
{
    return runSheetCommand(args, "figstair table apply FILE.csv", true);
}

int runPlatformCommand(
    const arguments &args, const std::string &title,
    const std::function<leaf::result<int>(table_session &, const command_options &)> &action)
{
    po::options_description description(title);
    description.add_options()("settings", po::value<std::string>()->required(),
                              "settings file of any host")(
        "revision", po::value<std::uint64_t>()->default_value(0),
        "show: table revision; 0 for the latest")(
        "last", po::value<std::uint64_t>()->default_value(20),
        "history: number of edits")("author", po::value<std::string>()->default_value("operator"),
                                    "author of the edit, shown by history");
    const command_options options(args, description);
    if (options.helpWasPrinted()) {
        return exitSuccess;
    }
    return runAndReportErrors([&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(settings, loadSettings(options.get<std::string>("settings")));
        table_session session(settings);
        return action(session, options);
    });
}

int runShow(const arguments &args)
{
    return runPlatformCommand(args, "figstair table show",
                              [](table_session &session, const command_options &options) {
                                  return session.show(options.get<std::uint64_t>("revision"));
                              });
}

int runHistory(const arguments &args)
{
    return runPlatformCommand(args, "figstair table history",
                              [](table_session &session, const command_options &options) {
                                  return session.history(options.get<std::uint64_t>("last"));
                              });
}

int runRotateKey(const arguments &args)
{
    return runPlatformCommand(args, "figstair table rotate-key",
                              [](table_session &session, const command_options &options) {
                                  return session.rotateKey(options.get<std::string>("author"));
                              });
}

} // namespace

int runTable(const arguments &args)
{
    static const std::map<std::string, int (*)(const arguments &)> actions{
        {"check", runCheck}, {"diff", runDiff},       {"apply", runApply},
        {"show", runShow},   {"history", runHistory}, {"rotate-key", runRotateKey}};
    const auto action = args.empty() ? actions.end() : actions.find(args.front());
    const bool isHelp = !args.empty() && args.front() == "--help";
    if (action == actions.end()) {
        std::ostream &out = isHelp ? std::cout : std::cerr;
        out << "figstair table check|diff|apply|show|history|rotate-key [--help]\n";
        return isHelp ? exitSuccess : exitUsage;
    }
    return action->second({args.begin() + 1, args.end()});
}

} // namespace figstair
