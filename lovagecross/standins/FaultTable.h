#pragma once

// Named fault settings of a stand-in, set over HTTP as a JSON object.
//
//     struct ToolFaults { bool hang = false; std::int64_t delayMs = 0; };
//     FaultTable<ToolFaults> faults({ { "hang", &ToolFaults::hang }, { "delayMs", &ToolFaults::delayMs } });
//     faults.apply(R"({"hang":true})");   // empty text, or what is wrong
//     if (faults.get().hang) ...
//     if (faults.takeOne(&ToolFaults::failBefore)) ...  // counts down
//
// Thread safety: every member may be called from any thread.

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <cstdint>
#include <exception>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace lovagecross::standins {

template <typename Faults> class FaultTable {
public:
    using Member = std::variant<bool Faults::*, std::int64_t Faults::*, std::string Faults::*>;
    struct Field {
        std::string_view name;
        Member member;
    };

    explicit FaultTable(std::vector<Field> fields, Faults initial = {})
        : fields(std::move(fields))
        , initial(initial)
        , current(std::move(initial))
    {
    }

    Faults get() const
    {
        const std::lock_guard lock(this->mutex);
        return this->current;
    }

    void reset()
    {
        const std::lock_guard lock(this->mutex);
        this->current = this->initial;
    }

    // Replaces the settings that `json` names; the others keep their values. Returns an empty text, or a message that
    // names the wrong field; nothing is changed then.
    std::string apply(const std::string& json)
    {
        const std::lock_guard lock(this->mutex);
        Faults changed = this->current;
        try {
            const auto object = Poco::JSON::Parser().parse(json).extract<Poco::JSON::Object::Ptr>();
            for (const auto& [name, value] : *object) {
                if (std::string message = this->set(changed, name, value); !message.empty())
                    return message;
            }
        } catch (const std::exception&) {
            return "the body must be a JSON object of fault settings";
        }
        this->current = std::move(changed);
        return {};
    }

    // True when the count is above 0; the count is then one lower.
    bool takeOne(std::int64_t Faults::*count)
    {
        const std::lock_guard lock(this->mutex);
        if (this->current.*count <= 0)
            return false;
        --(this->current.*count);
        return true;
    }

private:
    std::string set(Faults& faults, const std::string& name, const Poco::Dynamic::Var& value) const
    {
        for (const Field& field : this->fields) {
            if (field.name == name)
                return std::visit([&](auto member) { return assign(faults.*member, name, value); }, field.member);
        }
        return "unknown fault setting \"" + name + "\"";
    }

    static std::string assign(bool& target, const std::string& name, const Poco::Dynamic::Var& value)
    {
        if (!value.isBoolean())
            return "\"" + name + "\" must be true or false";
        target = value.convert<bool>();
        return {};
    }

    static std::string assign(std::int64_t& target, const std::string& name, const Poco::Dynamic::Var& value)
    {
        if (value.isBoolean() || !value.isInteger() || value.convert<Poco::Int64>() < 0)
            return "\"" + name + "\" must be a whole number of at least 0";
        target = value.convert<Poco::Int64>();
        return {};
    }

    static std::string assign(std::string& target, const std::string& name, const Poco::Dynamic::Var& value)
    {
        if (!value.isString())
            return "\"" + name + "\" must be a string";
        target = value.convert<std::string>();
        return {};
    }

    const std::vector<Field> fields;
    const Faults initial;
    mutable std::mutex mutex;
    Faults current;
};

} // namespace lovagecross::standins
