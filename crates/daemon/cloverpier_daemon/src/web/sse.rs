//! Server-sent events in the shape that completion clients read.
//!
//! Owns names and form of events; they are what existing clients parse. Nothing is decided here.

use crate::answers::{End, Reading};
use crate::web::completions::moved;
use cloverpier_answer::{Finish, FinishReason};
use cloverpier_core::ServiceName;
use serde::Serialize;
use std::fmt::Write;

/// Which of the two usual shapes an answer has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// Completions of a text.
    Text,
    /// Messages of a chat.
    Chat,
}

/// Writes the events of one answer.
#[derive(Clone, Debug)]
pub struct Writer {
    shape: Shape,
    id: String,
    service: ServiceName,
}

#[derive(Serialize)]
struct Chunk<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
    #[serde(skip_serializing_if = "Option::is_none")]
    cloverpier: Option<Proof>,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Message<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Message<'a>>,
    finish_reason: Option<FinishReason>,
}

#[derive(Serialize)]
struct Message<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

#[derive(Serialize)]
struct Usage {
    completion_tokens: u64,
}

/// Lets a caller check that it has the whole answer.
#[derive(Serialize)]
struct Proof {
    tokens: u64,
    digest: String,
}

impl Writer {
    /// A writer for the answer to a request.
    pub fn new(shape: Shape, id: &str, service: &ServiceName) -> Self {
        Self {
            shape,
            id: id.to_owned(),
            service: service.clone(),
        }
    }

    /// The events for what a reader got, and whether they are the last.
    pub fn events(&self, reading: &Reading) -> (String, bool) {
        let mut out = String::new();
        match reading {
            Reading::Wait => return (out, false),
            Reading::Tokens { tokens, .. } => {
                for (token, id) in tokens {
                    let data = self.chunk(Some(token), None, true);
                    // Writing to a string can't fail.
                    let _ = write!(out, "id: {id}\ndata: {data}\n\n");
                }
                return (out, false);
            }
            Reading::Finish(finish) => {
                let data = self.chunk(None, Some(*finish), true);
                // Writing to a string cannot fail, here and below.
                let _ = write!(out, "data: {data}\n\ndata: [DONE]\n\n");
            }
            Reading::End(End::Failed(error)) => {
                let _ = write!(out, "event: error\ndata: {}\n\n", error.json());
            }
            Reading::End(End::TakenOver) => {
                let _ = write!(out, "event: error\ndata: {}\n\n", moved().json());
            }
        }
        (out, true)
    }

    /// The whole answer as one JSON text.
    pub fn whole(&self, text: &str, finish: Finish) -> String {
        self.chunk(Some(text), Some(finish), false)
    }

    fn chunk(&self, text: Option<&str>, finish: Option<Finish>, streamed: bool) -> String {
        let content = Message {
            role: (!streamed).then_some("assistant"),
            content: text,
        };
        let (text, delta, message) = match (self.shape, streamed) {
            // The last chunk ends the answer and has no text of its own.
            (Shape::Text, _) => (Some(text.unwrap_or_default()), None, None),
            (Shape::Chat, true) => (None, Some(content), None),
            (Shape::Chat, false) => (None, None, Some(content)),
        };
        let object = match (self.shape, streamed) {
            (Shape::Text, _) => "text_completion",
            (Shape::Chat, true) => "chat.completion.chunk",
            (Shape::Chat, false) => "chat.completion",
        };
        let chunk = Chunk {
            id: &self.id,
            object,
            model: self.service.as_str(),
            choices: [Choice {
                index: 0,
                text,
                delta,
                message,
                finish_reason: finish.map(|f| f.reason),
            }],
            usage: finish.map(|f| Usage {
                completion_tokens: f.tokens,
            }),
            cloverpier: finish.map(|f| Proof {
                tokens: f.tokens,
                digest: f.chain.to_string(),
            }),
        };
        // The type has only text keys, so it can always be written as JSON.
        serde_json::to_string(&chunk).unwrap_or_default()
    }
}
