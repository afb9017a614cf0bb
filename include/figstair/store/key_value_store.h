#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <boost/leaf/result.hpp>

namespace figstair {

/// A key and its value as stored on the platform.
struct stored_value
{
    std::string key;
    std::string value;
    std::int64_t modRevision = 0; ///< changes with each write of the key; 0 for an absent key
};

/// Reports a failed call to the platform. A write may still have taken effect.
struct platform_error
{
    std::string call;
    std::string problem;
};

/// Blocking interface to the platform's key-value service.
class key_value_store
{
public:
    virtual ~key_value_store() = default;

    /// Returns nothing when the key is absent. Fails with platform_error.
    virtual boost::leaf::result<std::optional<stored_value>> get(const std::string &key) = 0;

    /// Returns at most @p limit values with @p first <= key < @p end in key order. Fails with
    /// platform_error.
    virtual boost::leaf::result<std::vector<stored_value>>
    range(const std::string &first, const std::string &end, std::size_t limit) = 0;

    /// Writes all @p puts atomically if @p key still has @p modRevision; otherwise writes nothing
    /// and returns false. Fails with platform_error.
    virtual boost::leaf::result<bool> putIfUnchanged(const std::string &key,
                                                     std::int64_t modRevision,
                                                     const std::vector<stored_value> &puts) = 0;
};

} // namespace figstair
