//! Piece of a completion.

use bytes::Bytes;
use serde::Deserialize;

/// A piece of a completion, in the form in which it is forwarded to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletionPiece {
    /// Zero-based position of the piece in the completion.
    pub index: u64,
    /// JSON of the chunk, unchanged from the engine.
    pub data: Bytes,
}

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
}

#[derive(Default, Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}

impl CompletionPiece {
    /// Returns the text of the piece, which is empty if the chunk has no content.
    ///
    /// This parses the chunk; a piece that is only forwarded need not be parsed.
    ///
    /// # Errors
    ///
    /// Returns an error if the data is not a valid JSON chunk.
    pub fn text(&self) -> Result<String, serde_json::Error> {
        let chunk: Chunk = serde_json::from_slice(&self.data)?;
        let choice = chunk.choices.into_iter().next();
        Ok(choice
            .and_then(|choice| choice.delta.content)
            .unwrap_or_default())
    }
}
