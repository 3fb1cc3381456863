#include "claims/claim_record.h"

#include "common/cbor.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace almondquay {

namespace {

using json = nlohmann::json;

/// Records are encoded as arrays that begin with their kind, which is smaller than objects.
enum class record_kind { claim = 0, outcome = 1 };

json key_to_json(const claim_key& key)
{
    return json::binary(std::vector<std::uint8_t>(std::begin(key.data), std::end(key.data)));
}

claim_key key_from_json(const json& value)
{
    const auto& bytes = value.get_binary();
    claim_key key{};
    if (bytes.size() != sizeof key.data) {
        throw json::other_error::create(501, "claim key is not 16 bytes long", nullptr);
    }
    std::ranges::copy(bytes, std::begin(key.data));
    return key;
}

json to_json(const claim_record& r)
{
    return json::array({static_cast<int>(record_kind::claim), key_to_json(r.key), r.id.host.value,
                        r.id.life.value, r.id.number, r.digest});
}

json to_json(const outcome_record& r)
{
    return json::array(
        {static_cast<int>(record_kind::outcome), key_to_json(r.key), r.id.host.value,
         r.id.life.value, r.id.number, static_cast<int>(r.end), r.answer.status,
         r.answer.content_type,
         json::binary(std::vector<std::uint8_t>(r.answer.body.begin(), r.answer.body.end())),
         r.answer.is_kept});
}

claim_id id_from_json(const json& value)
{
    return {host_id(value.at(2).get<std::string>()), incarnation(value.at(3).get<std::uint64_t>()),
            value.at(4).get<std::uint64_t>()};
}

log_record record_from_json(const json& value)
{
    const auto kind = value.at(0).get<int>();
    const auto key = key_from_json(value.at(1));
    const auto id = id_from_json(value);
    if (kind == static_cast<int>(record_kind::claim)) {
        return claim_record{key, id, value.at(5).get<std::uint64_t>()};
    }
    const auto end = value.at(5).get<int>();
    if (kind != static_cast<int>(record_kind::outcome) || end < 0 ||
        end > static_cast<int>(claim_end::unknown)) {
        throw json::other_error::create(501, "unknown record kind or claim outcome", nullptr);
    }
    const auto& body = value.at(8).get_binary();
    return outcome_record{key,
                          id,
                          static_cast<claim_end>(end),
                          {value.at(6).get<unsigned>(), value.at(7).get<std::string>(),
                           std::string(body.begin(), body.end()), value.at(9).get<bool>()}};
}

} // namespace

std::string encode(const log_segment& segment)
{
    json records = json::array();
    for (const auto& record : segment.records) {
        records.push_back(std::visit([](const auto& r) { return to_json(r); }, record));
    }
    const auto bytes = json::to_cbor(json::array({segment.slice.value, std::move(records)}));
    return {bytes.begin(), bytes.end()};
}

result<log_segment> decode_segment(std::string_view bytes)
{
    const auto parsed = parse_cbor(bytes);
    if (!succeeded(parsed)) {
        return error{result_code::platform_bad_answer, error_of(parsed).detail};
    }
    try {
        const auto& whole = value_of(parsed);
        log_segment segment;
        segment.slice.value = whole.at(0).get<std::uint64_t>();
        for (const auto& value : whole.at(1)) {
            segment.records.push_back(record_from_json(value));
        }
        return segment;
    } catch (const json::exception& problem) {
        return error{result_code::platform_bad_answer, problem.what()};
    }
}

std::string segment_key(bucket_number bucket, slice_number slice, std::uint32_t segment)
{
    return "claims/" + std::to_string(bucket.value) + "/" +
           std::to_string(slice.value % retained_slices) + "/" + std::to_string(segment);
}

} // namespace almondquay
