#pragma once

// Reads the samples that nodes of landed commits have written, for the compatibility tests, and prints values so that
// they can be compared field by field.
//
//     LandedSamples samples = readLandedSamples(folder + "/peer-messages-e175648.txt");
//     CPPUNIT_ASSERT_EQUAL(fieldText(expected), fieldText(decode(samples.at("promise-request"))));
//
// A file has one sample on each line: its name, a space, and its bytes in hexadecimal. A name alone has no bytes.
//
// For each struct with fields that is printed, `fieldsOf(const T&)` in the namespace of the struct returns a tuple of
// all its fields. It uses a structured binding, so that it no longer compiles once a field is added.
//
// Thread safety: free functions without shared state.

#include <Poco/HexBinaryDecoder.h>
#include <Poco/StreamCopier.h>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <map>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <string>
#include <tuple>
#include <type_traits>
#include <variant>
#include <vector>

namespace lovagecross {

using LandedSamples = std::map<std::string, std::string>; // bytes by name

inline std::string decodeHex(const std::string& text)
{
    std::istringstream encoded(text);
    Poco::HexBinaryDecoder decoder(encoded);
    std::string bytes;
    Poco::StreamCopier::copyToString(decoder, bytes);
    return bytes;
}

inline LandedSamples readLandedSamples(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        throw std::runtime_error("can't read " + path);
    LandedSamples samples;
    std::string line;
    while (std::getline(file, line)) {
        std::istringstream words(line);
        std::string name;
        std::string hex;
        words >> name >> hex;
        samples[name] = decodeHex(hex);
    }
    return samples;
}

template <typename T> std::string fieldText(const T& value);
template <typename T> std::string fieldText(const std::vector<T>& values);
template <typename T> std::string fieldText(const std::optional<T>& value);
template <typename... T> std::string fieldText(const std::variant<T...>& value);
template <typename Rep, typename Period> std::string fieldText(const std::chrono::duration<Rep, Period>& value);

inline std::string fieldText(const std::string& text)
{
    return '"' + text + '"';
}

template <typename T> std::string fieldText(const T& value)
{
    if constexpr (std::is_enum_v<T>)
        return std::to_string(static_cast<int>(value));
    else if constexpr (std::is_arithmetic_v<T>)
        return std::to_string(value);
    else if constexpr (std::is_empty_v<T>)
        return "{}";
    else
        return std::apply(
            [](const auto&... fields) { return '{' + (std::string() + ... + (fieldText(fields) + ' ')) + '}'; },
            fieldsOf(value));
}

template <typename T> std::string fieldText(const std::vector<T>& values)
{
    std::string text = "[";
    for (std::size_t i = 0; i < values.size(); ++i)
        text += fieldText(static_cast<const T&>(values[i])) + ' ';
    return text + ']';
}

template <typename T> std::string fieldText(const std::optional<T>& value)
{
    return value ? fieldText(*value) : "none";
}

template <typename... T> std::string fieldText(const std::variant<T...>& value)
{
    return std::to_string(value.index())
        + std::visit([](const auto& alternative) { return fieldText(alternative); }, value);
}

template <typename Rep, typename Period> std::string fieldText(const std::chrono::duration<Rep, Period>& value)
{
    return std::to_string(value.count());
}

} // namespace lovagecross
