//! Request body of a chat completion.

use serde::{Deserialize, Serialize};

/// Token limit of a request that sets no `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 16;

/// One message of a chat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Role of the speaker.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

/// Position at which to resume a completion that another engine began.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    /// Index of the first piece to generate.
    pub from_index: u64,
    /// Text of the pieces before `from_index`.
    pub text: String,
}

/// The fields of a chat completion that this project reads.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// Name of the model as the caller gave it.
    pub model: String,
    /// Messages of the chat so far.
    pub messages: Vec<ChatMessage>,
    /// Maximum number of tokens to generate.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Whether the response is streamed in pieces.
    #[serde(default)]
    pub stream: bool,
    /// Position at which to resume, if another engine began the completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume: Option<Resume>,
}

const fn default_max_tokens() -> u32 {
    DEFAULT_MAX_TOKENS
}

impl ChatRequest {
    /// Creates a streaming request with a single user message.
    pub fn user(model: impl Into<String>, content: impl Into<String>) -> Self {
        Self {
            model: model.into(),
            messages: vec![ChatMessage {
                role: "user".to_owned(),
                content: content.into(),
            }],
            max_tokens: DEFAULT_MAX_TOKENS,
            stream: true,
            resume: None,
        }
    }

    /// Returns the messages as one text. The blocks of the prefix cache are
    /// prefixes of this text.
    #[must_use]
    pub fn prompt(&self) -> String {
        let mut prompt = String::new();
        for message in &self.messages {
            prompt.push_str(&message.role);
            prompt.push('\n');
            prompt.push_str(&message.content);
            prompt.push('\n');
        }
        prompt
    }
}
