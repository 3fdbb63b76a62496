#include "innerprotocol/framecodec.h"

#include <boost/endian/conversion.hpp>
#include <concepts>
#include <cstring>
#include <limits>
#include <msgpuck.h>

namespace marjoram {

namespace {

template <typename T>
concept visitable = requires(T &value)
{
    T::visitFields(value, [](auto &) {});
};

/// Counts the fields of a frame, which is the size of its MessagePack array.
struct field_counter
{
    std::uint32_t count = 0;
    auto operator()(const auto &) -> void { ++count; }
};

template <visitable T>
auto fieldCount() -> std::uint32_t
{
    static const auto count = [] {
        const T sample{};
        field_counter counter;
        T::visitFields(sample, counter);
        return counter.count;
    }();
    return count;
}

/// Appends fields as MessagePack.
class packer
{
public:
    explicit packer(std::string &out)
        : m_out(out)
    { }
    auto operator()(bool value) -> void
    {
        grow(mp_sizeof_bool(value), [&](char *at) { mp_encode_bool(at, value); });
    }
    auto operator()(std::unsigned_integral auto value) -> void
    {
        grow(mp_sizeof_uint(value), [&](char *at) { mp_encode_uint(at, value); });
    }
    auto operator()(std::signed_integral auto value) -> void
    {
        if (value >= 0) {
            (*this)(static_cast<std::uint64_t>(value));
            return;
        }
        grow(mp_sizeof_int(value), [&](char *at) { mp_encode_int(at, value); });
    }
    template <named_enum E>
    auto operator()(E value) -> void
    {
        (*this)(static_cast<std::uint64_t>(value));
    }
    auto operator()(const std::string &value) -> void
    {
        const auto size = static_cast<std::uint32_t>(value.size());
        grow(mp_sizeof_str(size), [&](char *at) { mp_encode_str(at, value.data(), size); });
    }
    template <typename T>
    auto operator()(const std::vector<T> &values) -> void
    {
        array(static_cast<std::uint32_t>(values.size()));
        for (const auto &value : values) {
            (*this)(value);
        }
    }
    template <visitable T>
    auto operator()(const T &value) -> void
    {
        array(fieldCount<T>());
        T::visitFields(value, *this);
    }
    auto array(std::uint32_t size) -> void
    {
        grow(mp_sizeof_array(size), [&](char *at) { mp_encode_array(at, size); });
    }

private:
    auto grow(std::size_t bytes, auto &&write) -> void
    {
        const auto at = m_out.size();
        m_out.resize(at + bytes);
        write(m_out.data() + at);
    }

    std::string &m_out;
};

/// Reads fields from MessagePack that mp_check() has passed; remembers the first bad field.
class unpacker
{
public:
    unpacker(const char *at, const char *end)
        : m_at(at)
        , m_end(end)
    { }
    auto good() const -> bool { return m_good; }
    auto atEnd() const -> bool { return m_at == m_end; }

    auto operator()(bool &value) -> void
    {
        if (expect(MP_BOOL)) {
            value = mp_decode_bool(&m_at);
        }
    }
    template <std::unsigned_integral T>
    auto operator()(T &value) -> void
    {
        if (!expect(MP_UINT)) {
            return;
        }
        const auto number = mp_decode_uint(&m_at);
        m_good = m_good && number <= std::numeric_limits<T>::max();
        value = static_cast<T>(number);
    }
    auto operator()(std::int64_t &value) -> void
    {
        if (m_good && m_at != m_end && mp_typeof(*m_at) == MP_INT) {
            value = mp_decode_int(&m_at);
            return;
        }
        std::uint64_t number = 0;
        (*this)(number);
        m_good = m_good && number <= static_cast<std::uint64_t>(INT64_MAX);
        value = static_cast<std::int64_t>(number);
    }
    template <named_enum E>
    auto operator()(E &value) -> void
    {
        std::uint64_t number = 0;
        (*this)(number);
        m_good = m_good && isEnumerator<E>(number);
        value = m_good ? static_cast<E>(number) : E{};
    }
    auto operator()(std::string &value) -> void
    {
        if (!expect(MP_STR)) {
            return;
        }
        std::uint32_t size = 0;
        const char *bytes = mp_decode_str(&m_at, &size);
        value.assign(bytes, size);
    }
    template <typename T>
    auto operator()(std::vector<T> &values) -> void
    {
        const auto size = array();
        m_elementBytes += std::size_t{size} * sizeof(T);
        m_good = m_good && m_elementBytes <= ELEMENTS_LIMIT_BYTES;
        values.reserve(m_good ? std::min<std::size_t>(size, m_end - m_at) : 0);
        for (std::uint32_t i = 0; i < size && m_good; ++i) {
            T value{};
            (*this)(value);
            values.push_back(std::move(value));
        }
    }
    template <visitable T>
    auto operator()(T &value) -> void
    {
        m_good = array() == fieldCount<T>() && m_good;
        T::visitFields(value, *this);
    }
    auto array() -> std::uint32_t { return expect(MP_ARRAY) ? mp_decode_array(&m_at) : 0; }

private:
    auto expect(mp_type type) -> bool
    {
        m_good = m_good && m_at != m_end && mp_typeof(*m_at) == type;
        return m_good;
    }

    const char *m_at;
    const char *m_end;
    std::size_t m_elementBytes = 0;
    bool m_good = true;
};

/// Decodes the body of the frame kind `kind`, found by walking the variant's alternatives.
template <std::size_t Index = 0>
auto decodeBody(std::size_t kind, unpacker &fields) -> result<frame>
{
    if constexpr (Index == std::variant_size_v<frame>) {
        return make_error_code(codec_error::unknown_kind);
    } else {
        if (kind != Index) {
            return decodeBody<Index + 1>(kind, fields);
        }
        std::variant_alternative_t<Index, frame> body;
        fields(body);
        if (!fields.good() || !fields.atEnd()) {
            return make_error_code(codec_error::bad_field);
        }
        return frame(std::move(body));
    }
}

} // namespace

auto encodeFrame(const frame &message, std::string &out) -> void
{
    const auto start = out.size();
    out.resize(start + FRAME_PREFIX_BYTES);
    packer pack(out);
    pack.array(2);
    pack(static_cast<std::uint64_t>(message.index()));
    std::visit([&pack](const auto &body) { pack(body); }, message);
    const auto length = static_cast<std::uint32_t>(out.size() - start - FRAME_PREFIX_BYTES);
    const auto prefix = boost::endian::native_to_big(length);
    std::memcpy(out.data() + start, &prefix, sizeof(prefix));
}

auto decodePrefix(std::string_view prefix, std::size_t limit) -> result<std::size_t>
{
    std::uint32_t length = 0;
    std::memcpy(&length, prefix.data(), sizeof(length));
    boost::endian::big_to_native_inplace(length);
    if (length > limit) {
        return make_error_code(codec_error::too_large);
    }
    return std::size_t{length};
}

auto decodeFrame(std::string_view bytes) -> result<frame>
{
    const char *at = bytes.data();
    const char *end = at + bytes.size();
    const char *checked = at;
    if (bytes.empty()) {
        return make_error_code(codec_error::truncated);
    }
    if (mp_check(&checked, end) != 0 || checked != end) {
        return make_error_code(codec_error::malformed);
    }
    unpacker fields(at, end);
    std::uint64_t kind = 0;
    if (fields.array() != 2) {
        return make_error_code(codec_error::bad_field);
    }
    fields(kind);
    if (!fields.good()) {
        return make_error_code(codec_error::bad_field);
    }
    return decodeBody(kind, fields);
}

} // namespace marjoram
