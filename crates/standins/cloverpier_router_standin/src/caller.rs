//! A caller that checks what it gets.

use crate::answers::{EVENTS, event_bytes, plain_body, version_of_event};
use crate::http::{Head, read_body, read_head, read_more};
use cloverpier_net::TcpStream;
use cloverpier_router::HeaderNames;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::timeout;

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Its id.
    pub id: String,
    /// The host.
    pub host: String,
    /// The path.
    pub path: String,
    /// The key that it carries.
    pub key: Option<String>,
    /// The prompt, for streams.
    pub prompt: Option<String>,
    /// The token counts that it declares, as the platform writes them.
    pub token_counts: Option<String>,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
    /// How the stream began that the caller resumes; `None` for a new one, and for a caller that does not tell.
    pub resumes: Option<StreamOrigin>,
    /// How long it waits.
    pub deadline: Duration,
    /// The body.
    pub body: String,
}

impl CallerRequest {
    /// The request, with an id of its own, by which a caller goes on with the stream of this one after it broke.
    pub fn resumed(&self, id: &str, broken: &StreamOutcome) -> Self {
        let last = match &broken.outcome {
            Outcome::Broken(last) => (*last > 0).then_some(*last),
            _ => self.last_event,
        };
        Self {
            id: id.to_owned(),
            last_event: last,
            resumes: broken.origin.clone(),
            ..self.clone()
        }
    }
}

/// How a stream began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamOrigin {
    /// The request that got its first event.
    pub request: String,
    /// The software version that wrote that event; `None` where events name none.
    pub version: Option<String>,
}

/// What came of a stream, of which the caller may have had a part before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamOutcome {
    /// What came of this request.
    pub outcome: Outcome,
    /// How the stream began; `None` before its first event.
    pub origin: Option<StreamOrigin>,
}

/// What came of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole success; a stream up to its last event.
    Whole,
    /// A status other than a success, with the time to come back if told.
    Status(u16, Option<String>),
    /// The connection broke; of a stream, this event came last.
    Broken(u64),
    /// No connection came up.
    Unreachable,
    /// No answer came in time.
    TimedOut,
    /// The answer is wrong, which must never be.
    Wrong(String),
}

/// Sends a request over a new connection and checks the answer.
pub async fn call(router: SocketAddr, names: &HeaderNames, request: &CallerRequest) -> Outcome {
    call_stream(router, names, request).await.outcome
}

/// The same, for a stream with which the caller may have to go on.
pub async fn call_stream(
    router: SocketAddr,
    names: &HeaderNames,
    request: &CallerRequest,
) -> StreamOutcome {
    let patience = request.deadline + Duration::from_secs(1);
    let mut origin = request.resumes.clone();
    let answered = timeout(patience, exchange(router, names, request, &mut origin)).await;
    let outcome = match answered {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(_)) => Outcome::Broken(request.last_event.unwrap_or(0)),
        Err(_) => Outcome::TimedOut,
    };
    StreamOutcome { outcome, origin }
}

/// Sends a request over a new connection, and reads whatever comes until the connection ends; returns how many bytes came,
/// and `None` where it does not end within `patience`.
pub async fn read_to_end(
    router: SocketAddr,
    names: &HeaderNames,
    request: &CallerRequest,
    patience: Duration,
) -> Option<usize> {
    let reading = async {
        let mut stream = TcpStream::connect(router).await.ok()?;
        let text = request_text(names, request);
        stream.write_all(text.as_bytes()).await.ok()?;
        let (mut count, mut bytes) = (0, vec![0; 64 * 1024]);
        loop {
            match stream.read(&mut bytes).await {
                // A reset ends the connection, too.
                Ok(0) | Err(_) => return Some(count),
                Ok(read) => count += read,
            }
        }
    };
    timeout(patience, reading).await.ok().flatten()
}

/// A connection that a caller keeps for plain requests.
#[derive(Debug)]
pub struct KeptConnection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl KeptConnection {
    /// Connects to a router.
    pub async fn open(router: SocketAddr) -> Option<Self> {
        let connecting = timeout(Duration::from_secs(1), TcpStream::connect(router));
        let stream = connecting.await.ok()?.ok()?;
        Some(Self {
            stream,
            buffer: Vec::new(),
        })
    }

    /// Sends a plain request and checks the answer.
    pub async fn call(&mut self, names: &HeaderNames, request: &CallerRequest) -> Outcome {
        let patience = request.deadline + Duration::from_secs(1);
        match timeout(patience, self.exchange(names, request)).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) => Outcome::Broken(0),
            Err(_) => Outcome::TimedOut,
        }
    }

    async fn exchange(
        &mut self,
        names: &HeaderNames,
        request: &CallerRequest,
    ) -> io::Result<Outcome> {
        if !self.buffer.is_empty() {
            return Ok(Outcome::Wrong("bytes where no answer was due".to_owned()));
        }
        let text = request_text(names, request);
        self.stream.write_all(text.as_bytes()).await?;
        let Some(head) = read_head(&mut self.stream, &mut self.buffer).await? else {
            return Ok(Outcome::Broken(0));
        };
        let length = head.content_length();
        let Some(body) = read_body(&mut self.stream, &mut self.buffer, length).await? else {
            return Ok(Outcome::Broken(0));
        };
        Ok(judge_plain(&head, &body, names, request))
    }
}

fn judge_plain(head: &Head, body: &[u8], names: &HeaderNames, request: &CallerRequest) -> Outcome {
    let status: u16 = head.word(1).parse().unwrap_or(0);
    if status != 200 {
        return Outcome::Status(status, head.get("retry-after").map(str::to_owned));
    }
    if let Some(wrong) = wrong_head(head, names, request) {
        return Outcome::Wrong(wrong);
    }
    if body == plain_body(&request.id).as_bytes() {
        return Outcome::Whole;
    }
    let body = String::from_utf8_lossy(body);
    Outcome::Wrong(format!("another body: {body}"))
}

async fn exchange(
    router: SocketAddr,
    names: &HeaderNames,
    request: &CallerRequest,
    origin: &mut Option<StreamOrigin>,
) -> io::Result<Outcome> {
    let Ok(mut stream) = TcpStream::connect(router).await else {
        return Ok(Outcome::Unreachable);
    };
    stream
        .write_all(request_text(names, request).as_bytes())
        .await?;
    let mut buffer = Vec::new();
    let Some(head) = read_head(&mut stream, &mut buffer).await? else {
        return Ok(Outcome::Broken(request.last_event.unwrap_or(0)));
    };
    let status: u16 = head.word(1).parse().unwrap_or(0);
    if status != 200 {
        let back = head.get("retry-after").map(str::to_owned);
        return Ok(Outcome::Status(status, back));
    }
    if let Some(wrong) = wrong_head(&head, names, request) {
        return Ok(Outcome::Wrong(wrong));
    }
    let is_chunked = head.get("transfer-encoding").is_some();
    match &request.prompt {
        // A continuation after the last event is answered whole and empty.
        Some(_) if !is_chunked && head.content_length() == 0 => {
            Ok(end_of(request.last_event.unwrap_or(0), &buffer))
        }
        Some(prompt) => read_events(&mut stream, buffer, request, prompt, origin).await,
        None => read_plain(&mut stream, names, buffer, &head, request).await,
    }
}

fn request_text(names: &HeaderNames, request: &CallerRequest) -> String {
    let mut lines = vec![
        format!("POST {} HTTP/1.1", request.path),
        format!("host: {}", request.host),
        format!("{}: {}", names.request_id, request.id),
        format!("{}: {}", names.deadline_ms, request.deadline.as_millis()),
        // A caller may claim to be whoever it likes.
        format!("{}: somebody-else", names.account),
    ];
    lines.extend(
        request
            .key
            .iter()
            .map(|key| format!("{}: {key}", names.key)),
    );
    lines.extend(
        request
            .prompt
            .iter()
            .map(|p| format!("{}: {p}", names.prompt_parts)),
    );
    lines.extend(
        request
            .token_counts
            .iter()
            .map(|counts| format!("{}: {counts}", names.token_counts)),
    );
    lines.extend(
        request
            .last_event
            .iter()
            .map(|l| format!("{}: {l}", names.last_event)),
    );
    lines.extend(
        request
            .resumes
            .iter()
            .map(|origin| format!("{}: {}", names.resumed_request, origin.request)),
    );
    lines.push(format!("content-length: {}", request.body.len()));
    lines.join("\r\n") + "\r\n\r\n" + &request.body
}

fn wrong_head(head: &Head, names: &HeaderNames, request: &CallerRequest) -> Option<String> {
    if head.get(names.request_id.as_str()) != Some(&request.id) {
        return Some(format!("a success for another request: {head:?}"));
    }
    if head.get(names.signature.as_str()).is_none() {
        return Some("a success that isn't signed".to_owned());
    }
    None
}

async fn read_plain(
    stream: &mut TcpStream,
    names: &HeaderNames,
    mut buffer: Vec<u8>,
    head: &Head,
    request: &CallerRequest,
) -> io::Result<Outcome> {
    let Some(body) = read_body(stream, &mut buffer, head.content_length()).await? else {
        return Ok(Outcome::Broken(0));
    };
    Ok(judge_plain(head, &body, names, request))
}

async fn read_events(
    stream: &mut TcpStream,
    mut raw: Vec<u8>,
    request: &CallerRequest,
    prompt: &str,
    origin: &mut Option<StreamOrigin>,
) -> io::Result<Outcome> {
    let mut last = request.last_event.unwrap_or(0);
    let mut text = Vec::new();
    loop {
        let ended = take_chunks(&mut raw, &mut text);
        while let Some(end) = text.windows(2).position(|w| w == b"\n\n") {
            let event: Vec<u8> = text.drain(..end + 2).collect();
            let version = version_of_event(&event);
            let expected = event_bytes(prompt, last + 1, version.as_deref());
            if event != expected {
                let got = String::from_utf8_lossy(&event).into_owned();
                return Ok(Outcome::Wrong(format!("{got:?} after event {last}")));
            }
            last += 1;
            let began = origin.get_or_insert_with(|| StreamOrigin {
                request: request.id.clone(),
                version: version.clone(),
            });
            if began.version != version {
                let mix = format!("event {last} of {version:?} in a stream of {began:?}");
                return Ok(Outcome::Wrong(mix));
            }
        }
        if ended {
            return Ok(end_of(last, &text));
        }
        match read_more(stream, &mut raw).await {
            Ok(true) => {}
            Ok(false) | Err(_) => return Ok(Outcome::Broken(last)),
        }
    }
}

fn end_of(last: u64, rest: &[u8]) -> Outcome {
    if last == EVENTS && rest.is_empty() {
        Outcome::Whole
    } else {
        Outcome::Wrong(format!("the stream ended as complete after event {last}"))
    }
}

/// Moves whole chunks to `text`; true at the last chunk.
fn take_chunks(raw: &mut Vec<u8>, text: &mut Vec<u8>) -> bool {
    loop {
        let Some(line) = raw.windows(2).position(|w| w == b"\r\n") else {
            return false;
        };
        let size = String::from_utf8_lossy(&raw[..line]).into_owned();
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
            return false;
        };
        let end = line + 2 + size + 2;
        if raw.len() < end {
            return false;
        }
        if size == 0 {
            return true;
        }
        text.extend_from_slice(&raw[line + 2..end - 2]);
        raw.drain(..end);
    }
}
