#pragma once

#include <string>

#include "figstair/core/clock_source.h"
#include "figstair/core/endpoint.h"
#include "figstair/store/key_value_store.h"

namespace figstair {

/// Client of the HTTP/JSON gateway of etcd version 3 (range and txn). Calls block for up to the
/// timeout, so use it from a thread that may block.
class etcd_gateway_store : public key_value_store
{
public:
    etcd_gateway_store(const endpoint &address, milliseconds timeout);

    boost::leaf::result<std::optional<stored_value>> get(const std::string &key) override;
    boost::leaf::result<std::vector<stored_value>>
    range(const std::string &first, const std::string &end, std::size_t limit) override;
    boost::leaf::result<bool> putIfUnchanged(const std::string &key, std::int64_t modRevision,
                                             const std::vector<stored_value> &puts) override;

private:
    boost::leaf::result<std::string> post(const std::string &path, const std::string &body);

    endpoint m_endpoint;
    milliseconds m_timeout;
};

} // namespace figstair
