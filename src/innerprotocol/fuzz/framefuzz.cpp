// Byte-level fuzzing of what reads from a socket: frames, event ids, request bodies and engine
// streams. A frame that decodes must survive encoding and decoding again.

#include "backendservers/enginecodec.h"
#include "callers/openaicodec.h"
#include "generations/eventid.h"
#include "innerprotocol/framecodec.h"

#include <cstdlib>

using namespace marjoram;

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) -> int
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    if (const auto decoded = decodeFrame(bytes)) {
        std::string again;
        encodeFrame(*decoded, again);
        if (!decodeFrame(std::string_view(again).substr(FRAME_PREFIX_BYTES))) {
            std::abort();
        }
    }
    if (const auto id = parseEventId(bytes); id && parseEventId(toText(*id))->host != id->host) {
        std::abort();
    }
    parseOpenai(bytes, prompt_form::completion).has_value();
    parseOpenai(bytes, prompt_form::chat).has_value();
    engine_stream_parser parser;
    std::vector<std::string> tokens;
    parser.feed(bytes, tokens);
    decodeEngineLoad(bytes).has_value();
    decodeCacheEvents(bytes).has_value();
    return 0;
}
