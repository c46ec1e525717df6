//! Golden files of the requests, output and exit codes of `cloverpier`.
//!
//! They guard against a change that breaks scripts of operators. The test router sends one fixed
//! response for each method and path.

use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::thread;

const PLAN: &str = r#"{"id":"p-1","plan":{"base":4,"changes":[
    {"item":{"upstream":"e1"},"kind":"create","before":null,"after":"{\"slots\":16}"},
    {"item":{"service":"drafts"},"kind":"replace","before":"1","after":"2"},
    {"item":{"account":"lab"},"kind":"remove","before":"3","after":null}],
    "intent":{"services":{},"upstreams":{},"accounts":{},"leave":["e2"],"remove":[]}}}"#;
const EMPTY_PLAN: &str = r#"{"id":"p-2","plan":{"base":4,"changes":[],
    "intent":{"services":{},"upstreams":{},"accounts":{},"leave":[],"remove":[]}}}"#;
const ACCEPTED: &str = r#"{"outcome":"accepted","version":5,"waiting":[]}"#;
const PENDING: &str = r#"{"outcome":"pending","version":6,"waiting":[
    {"vm":"vm-2","version":5},{"vm":"vm-3","version":null}]}"#;
const STATUS: &str = r#"{"vm":"vm-1","data_centre":"hall-a","epoch":3,"version":5,"ready":true,
    "stopping":false,"members":[{"vm":"vm-1","data_centre":"hall-a","callers_at":"127.0.0.1:1",
    "peers_at":"127.0.0.1:2","stopping":false,"suspected":true}],"upstreams":[{"upstream":"e1",
    "takes_work":true,"load":7,"own":2}],"answers":1,"copies":2,"copied_tokens":3,"records":4,
    "slots_not_ready":5,"peer_calls":6,"peer_bytes_sent":7,"peer_bytes_received":8}"#;
const ADDRESSES: &str = r#"{"ttl_s":20,"spread":1,"addresses":[
    {"vm":"vm-1","data_centre":"hall-a","address":"127.0.0.1:7101"}]}"#;

fn response_for(method: &str, path: &str) -> (u16, &'static str) {
    match (method, path) {
        ("POST", "/admin/plans") | ("GET", "/admin/plans/p-1") => (200, PLAN),
        ("GET", "/admin/plans/p-2") => (200, EMPTY_PLAN),
        ("POST", "/admin/plans/p-1/confirm") | ("GET", "/admin/versions/5") => (200, ACCEPTED),
        ("POST", "/admin/plans/p-2/confirm") | ("GET", "/admin/versions/6") => (200, PENDING),
        ("GET", "/admin/config") => (200, r#"{"services":{},"upstreams":{},"accounts":{}}"#),
        ("GET", "/admin/status") => (200, STATUS),
        ("POST", "/admin/upstreams/e1/leave") => (200, r#"{"upstream":"e1","not_told":[]}"#),
        ("POST", "/admin/upstreams/e2/leave") => (
            200,
            r#"{"upstream":"e2","not_told":[{"vm":"vm-3","version":null}]}"#,
        ),
        ("POST", "/admin/stop") => (202, ""),
        ("GET", "/v1/addresses") => (200, ADDRESSES),
        ("POST", "/services/status/runs/17/sign") => (200, "signed"),
        _ => (404, r#"{"error":{"code":"not_found"}}"#),
    }
}

/// Request lines, bodies and some headers, in the order in which the router received the requests.
type RecordedRequests = Arc<Mutex<Vec<String>>>;

fn serve(stream: TcpStream, requests: &RecordedRequests) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let request_line = line.trim_end().to_owned();
    let mut headers = Vec::new();
    let mut length = 0;
    loop {
        line.clear();
        reader.read_line(&mut line)?;
        let header = line.trim_end().to_ascii_lowercase();
        if header.is_empty() {
            break;
        }
        if let Some(value) = header.strip_prefix("content-length: ") {
            length = value.parse().unwrap_or(0);
        }
        let recorded_headers = ["authorization", "idempotency-key", "content-type"];
        if recorded_headers.iter().any(|name| header.starts_with(name)) {
            headers.push(header);
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    headers.sort();
    let body = String::from_utf8_lossy(&body).into_owned();
    let request = format!("{request_line} [{}] {body}", headers.join("; "));
    requests.lock().unwrap().push(request);
    let mut words = request_line.split(' ');
    let (method, path) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
    let (status, response) = response_for(method, path);
    let head = format!(
        "HTTP/1.1 {status} S\r\nconnection: close\r\ncontent-length: {}",
        response.len()
    );
    let mut stream = stream;
    write!(
        stream,
        "{head}\r\ncontent-type: application/json\r\n\r\n{response}"
    )
}

fn start_router() -> (SocketAddr, RecordedRequests) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let requests = RecordedRequests::default();
    let shared = Arc::clone(&requests);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            // If the client disconnects early, its output shows the failure.
            let _ = serve(stream, &shared);
        }
    });
    (address, requests)
}

fn run_command(router: SocketAddr, requests: &RecordedRequests, args: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_cloverpier"))
        .args(args)
        .env("CLOVERPIER_ROUTER", router.to_string())
        .env("CLOVERPIER_ADDRESS", router.to_string())
        .env("CLOVERPIER_OPERATOR_KEY", "the operators' key")
        .env("CLOVERPIER_KEY", "lab.secret")
        .output()
        .unwrap();
    let mut text = format!("$ cloverpier {}\n", args.join(" "));
    for request in requests.lock().unwrap().drain(..) {
        let _ = writeln!(text, "-> {request}");
    }
    text += &String::from_utf8_lossy(&output.stdout);
    for line in String::from_utf8_lossy(&output.stderr).lines() {
        let _ = writeln!(text, "stderr: {line}");
    }
    let _ = writeln!(text, "exit code {}\n", output.status.code().unwrap());
    text.replace(&router.to_string(), "ROUTER")
}

#[test]
fn commands_keep_their_calls_and_output() {
    let (router, requests) = start_router();
    let dir = tempfile::tempdir().unwrap();
    let intent = dir.path().join("intent.toml");
    std::fs::write(&intent, "leave = [\"e2\"]\n").unwrap();
    let intent = intent.display().to_string();
    let mut text = String::new();
    for args in [
        &["plan", &intent][..],
        &["show", "p-1"],
        &["show", "p-2"],
        &["confirm", "p-1"],
        &["confirm", "p-2"],
        &["version", "5"],
        &["version", "6"],
        &["config"],
        &["status"],
        &["drain", "e1"],
        &["drain", "e2"],
        &["stop"],
        &["addresses"],
        &[
            "call",
            "--method",
            "POST",
            "--key",
            "k",
            "--body",
            "b",
            "status/runs/17/sign",
        ],
        &["call", "status/nowhere"],
        &["key", "lab.secret"],
        &["key", "nothing"],
        &["show", "missing"],
        &["--json", "show", "p-1"],
        &["--json", "confirm", "p-2"],
        &["--json", "status"],
        &["--json", "drain", "e2"],
        &["--json", "addresses"],
    ] {
        text += &run_command(router, &requests, args).replace(&intent, "INTENT");
    }
    insta::assert_snapshot!(text);
}
