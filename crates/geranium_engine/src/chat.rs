//! The body of a chat completion.

use serde::{Deserialize, Serialize};

/// Tokens generated when the request names no number.
const DEFAULT_MAX_TOKENS: u32 = 16;

/// One message of a chat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Role of the speaker.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

/// Where to go on with a completion that another engine began.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    /// Index of the first piece that is wanted.
    pub from_index: u64,
    /// Text of the pieces before it.
    pub text: String,
}

/// The fields of a chat completion that this project reads.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// Model as the caller names it.
    pub model: String,
    /// The chat so far.
    pub messages: Vec<ChatMessage>,
    /// Largest number of tokens.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Whether the answer is a stream of pieces.
    #[serde(default)]
    pub stream: bool,
    /// Where to go on, if the completion was begun elsewhere.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume: Option<Resume>,
}

const fn default_max_tokens() -> u32 {
    DEFAULT_MAX_TOKENS
}

impl ChatRequest {
    /// Makes a streamed request with one message of the user.
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

    /// Returns the messages as one text, whose prefixes the prefix cache keeps.
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
