//! A piece of a completion.

use bytes::Bytes;
use serde::Deserialize;

/// A piece of a completion, in the form in which it is passed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletionPiece {
    /// Position of the piece in the completion, from zero.
    pub index: u64,
    /// JSON of the chunk as the engine sent it.
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
    /// Returns the text of the piece; empty if it has none.
    ///
    /// This parses the chunk, which a piece that is only passed on does not need.
    ///
    /// # Errors
    ///
    /// Returns an error if the data is not the JSON of a chunk.
    pub fn text(&self) -> Result<String, serde_json::Error> {
        let chunk: Chunk = serde_json::from_slice(&self.data)?;
        let choice = chunk.choices.into_iter().next();
        Ok(choice
            .and_then(|choice| choice.delta.content)
            .unwrap_or_default())
    }
}
