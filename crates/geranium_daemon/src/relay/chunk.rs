//! The parts of a completion chunk that the relay parses.

use std::borrow::Cow;

use geranium_core::stream::{ChunkBody, FinishReason};
use geranium_engine::CompletionPiece;
use serde::Deserialize;

#[derive(Deserialize)]
struct Chunk<'a> {
    #[serde(borrow, default)]
    choices: Vec<Choice<'a>>,
}

#[derive(Deserialize)]
struct Choice<'a> {
    #[serde(borrow, default)]
    delta: Delta<'a>,
    #[serde(borrow, default)]
    finish_reason: Option<Cow<'a, str>>,
}

#[derive(Default, Deserialize)]
struct Delta<'a> {
    #[serde(borrow, default)]
    content: Option<Cow<'a, str>>,
}

/// Parses a chunk of an engine as a token or as the end of the answer.
///
/// # Errors
///
/// Returns an error if the data is not valid JSON of a chunk.
pub fn parse_chunk(piece: &CompletionPiece) -> Result<ChunkBody, serde_json::Error> {
    let chunk: Chunk<'_> = serde_json::from_slice(&piece.data)?;
    let choice = chunk.choices.into_iter().next();
    let (content, reason) = choice.map_or((None, None), |choice| {
        (choice.delta.content, choice.finish_reason)
    });
    let content = content.unwrap_or_default();
    Ok(match reason {
        Some(reason) if content.is_empty() => ChunkBody::End {
            tokens: piece.index,
            reason: finish_reason(&reason),
        },
        _ => ChunkBody::Tokens {
            first: piece.index,
            count: 1,
            text: content.into_owned(),
        },
    })
}

fn finish_reason(text: &str) -> FinishReason {
    match text {
        "stop" => FinishReason::Stop,
        "length" => FinishReason::Length,
        other => FinishReason::Other(other.to_owned()),
    }
}

/// Returns the name that engines use for a finish reason.
#[must_use]
pub fn finish_text(reason: &FinishReason) -> &str {
    match reason {
        FinishReason::Stop => "stop",
        FinishReason::Length => "length",
        FinishReason::Other(text) => text,
    }
}
