//! The JSON of chunks and answers.

use std::fmt::Write as _;

use serde::Serialize;
use serde_json::json;

/// Last event of a whole stream.
pub(super) const END_EVENT: &str = "data: [DONE]\n\n";

/// Parts of every chunk of one completion.
#[derive(Clone, Debug)]
pub(super) struct ChunkFrame {
    head: String,
}

impl ChunkFrame {
    pub fn new(request: &str, model: &str) -> Self {
        let id = quote(&format!("chatcmpl-{request}"));
        let model = quote(model);
        Self {
            head: format!(
                "{{\"id\":{id},\"object\":\"chat.completion.chunk\",\"created\":0,\
                 \"model\":{model},\"choices\":[{{\"index\":0,\"delta\":"
            ),
        }
    }

    /// Adds the event of one token.
    pub fn push_token(&self, buf: &mut String, index: u64, text: &str) {
        let role = if index == 0 {
            "\"role\":\"assistant\","
        } else {
            ""
        };
        let head = &self.head;
        let text = quote(text);
        // Writing to a string cannot fail.
        let _ = write!(
            buf,
            "id: {index}\ndata: {head}{{{role}\"content\":{text}}},\"finish_reason\":null}}]}}\n\n"
        );
    }

    /// Adds the event with the reason of the end.
    pub fn push_finish(&self, buf: &mut String, index: u64) {
        let head = &self.head;
        let _ = write!(
            buf,
            "id: {index}\ndata: {head}{{}},\"finish_reason\":\"length\"}}]}}\n\n"
        );
    }
}

/// Returns the event of a failure within a stream.
pub(super) fn error_event(kind: &str, message: &str) -> String {
    let error = json!({ "error": { "type": kind, "message": message } });
    format!("event: error\ndata: {error}\n\n")
}

/// Returns the answer of a completion that is not streamed.
pub(super) fn whole_answer(
    request: &str,
    model: &str,
    text: &str,
    prompt_tokens: u64,
    completion_tokens: u64,
) -> impl Serialize {
    json!({
        "id": format!("chatcmpl-{request}"),
        "object": "chat.completion",
        "created": 0,
        "model": model,
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": text },
            "finish_reason": "length",
        }],
        "usage": {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": completion_tokens,
            "total_tokens": prompt_tokens + completion_tokens,
        },
    })
}

fn quote(text: &str) -> String {
    serde_json::Value::from(text).to_string()
}
