//! Commands of callers.
//!
//! Each prints for people, or JSON with `--json`, and returns the exit code's reason.

use crate::Outcome;
use crate::args::{Args, Call, Generate, Key};
use crate::table::print_rows;
use cloverpier_client::{Caller, GenerateRequest};
use cloverpier_core::KeyDigest;
use reqwest::Method;
use serde_json::json;
use std::io::Write;

fn caller_of(args: &Args) -> Result<(Caller, std::net::SocketAddr), Outcome> {
    let missing = "--address or CLOVERPIER_ADDRESS: expected a router's port for callers";
    let address = args
        .address()
        .ok_or_else(|| Outcome::Usage(missing.to_owned()))?;
    // Without a key the router refuses the call and says so.
    let key = std::env::var("CLOVERPIER_KEY").unwrap_or_default();
    Ok((Caller::new(address, &key), address))
}

/// Prints the digest of a key.
pub fn key(key: &Key) -> Outcome {
    let whole = key.key.split_once('.');
    if whole.is_none_or(|(account, secret)| account.is_empty() || secret.is_empty()) {
        return Outcome::Usage("key: expected account.secret".to_owned());
    }
    println!("{}", KeyDigest::of(&key.key).as_str());
    Outcome::Done
}

/// Prints the addresses.
pub async fn addresses(args: &Args) -> Outcome {
    let (caller, _) = match caller_of(args) {
        Ok(found) => found,
        Err(outcome) => return outcome,
    };
    match caller.addresses().await {
        Err(e) => Outcome::Failed(e.to_string()),
        Ok(found) => {
            let rows = found
                .addresses
                .iter()
                .map(|a| vec![a.address.to_string(), a.vm.clone(), a.data_centre.clone()]);
            let rows: Vec<Vec<String>> = rows.collect();
            print_rows(args.json, &["address", "vm", "data_centre"], &rows);
            Outcome::Done
        }
    }
}

/// Streams an answer.
pub async fn generate(args: &Args, ask: &Generate) -> Outcome {
    let (caller, _) = match caller_of(args) {
        Ok(found) => found,
        Err(outcome) => return outcome,
    };
    // A router that does not list the addresses can still serve.
    let _ = caller.addresses().await;
    let mut what = GenerateRequest::new(&ask.service, &ask.prompt, ask.max_tokens);
    what.priority = ask.priority;
    what.key.clone_from(&ask.key);
    let quiet = args.json;
    let streamed = caller.generate(&what, |token| {
        if !quiet {
            print!("{}", token.text);
            // Closed output is no reason to end the call: its result is reported by the exit code.
            let _ = std::io::stdout().flush();
        }
    });
    match streamed.await {
        Err(e) => Outcome::Failed(e.to_string()),
        Ok(answer) => {
            if args.json {
                let line = json!({
                    "text": answer.text(), "tokens": answer.tokens.len(),
                    "proved": answer.is_verified, "repeated": answer.repeated,
                    "connections": answer.connections,
                });
                println!("{line}");
            } else {
                println!();
            }
            if answer.is_verified {
                Outcome::Done
            } else {
                Outcome::Failed("count and digest are not those that the router told".to_owned())
            }
        }
    }
}

/// Calls a plain service.
pub async fn call(args: &Args, call: &Call) -> Outcome {
    let (caller, address) = match caller_of(args) {
        Ok(found) => found,
        Err(outcome) => return outcome,
    };
    let Ok(method) = Method::from_bytes(call.method.as_bytes()) else {
        return Outcome::Usage("--method: expected an HTTP method".to_owned());
    };
    let key = call.key.as_deref();
    match caller
        .call(address, method, &call.path, key, &call.body)
        .await
    {
        Err(e) => Outcome::Failed(e.to_string()),
        Ok(reply) if reply.status < 400 => {
            println!("{}", reply.body);
            Outcome::Done
        }
        Ok(reply) => Outcome::Failed(format!("status {}: {}", reply.status, reply.body)),
    }
}
