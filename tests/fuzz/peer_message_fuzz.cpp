#include <boost/leaf.hpp>

#include "fuzz/fuzzed_host.h"

using namespace figstair;
namespace leaf = boost::leaf;

namespace {

struct message_handler
{
    fuzzed_host &host;

    void operator()(const peer_report &report) const
    {
        host.core().onPeerReport(report);
        host.session().onPeerReport(report);
    }
    void operator()(const view_changes &changes) const { host.session().onRelayedChanges(changes); }
    void operator()(const view_pull &pull) const { host.session().onPull(pull); }
    void operator()(const view_request &request) const
    {
        host.session().onViewRequest(endpoint{}, request);
    }
    void operator()(const view_snapshot &snapshot) const { host.session().onSnapshot(snapshot); }
};

} // namespace

/// A host gets the input as a message of another host: unsigned if it begins like one, otherwise
/// with a valid signature.
// The name is that of libFuzzer. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    byte_buffer bytes(data, data + size);
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            if (isUnsigned(bytes)) {
                BOOST_LEAF_AUTO(message, decodeUnsigned(bytes));
                fuzzed_host host;
                std::visit(message_handler{host}, message);
                host.work();
                return {};
            }
            signPeerDatagram(fuzzed_host::key, bytes);
            BOOST_LEAF_AUTO(message, decodeEntryMessage(fuzzed_host::key, bytes));
            fuzzed_host host;
            std::visit(message_handler{host}, message);
            host.work();
            return {};
        },
        [] {});
    return 0;
}
