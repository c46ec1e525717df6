//! The commands of callers.
//!
//! Each function prints its result as text, or as JSON with `--json`, and returns an [`Outcome`],
//! which determines the exit code.

use crate::Outcome;
use crate::args::{Args, Call, Generate, Key};
use crate::table::print_rows;
use cloverpier_client::{Caller, GenerateRequest};
use cloverpier_core::KeyDigest;
use reqwest::Method;
use serde_json::json;
use std::io::Write;

fn caller_from_args(args: &Args) -> Result<(Caller, std::net::SocketAddr), Outcome> {
    let missing = "--address or CLOVERPIER_ADDRESS: expected a router's port for callers";
    let address = args
        .address()
        .ok_or_else(|| Outcome::Usage(missing.to_owned()))?;
    // Without a key the router refuses the call, with an error that names the missing key.
    let key = std::env::var("CLOVERPIER_KEY").unwrap_or_default();
    Ok((Caller::new(address, &key), address))
}

/// Prints the SHA-256 digest of a client account's key.
pub fn key(key: &Key) -> Outcome {
    let key_parts = key.key.split_once('.');
    if key_parts.is_none_or(|(account, secret)| account.is_empty() || secret.is_empty()) {
        return Outcome::Usage("key: expected account.secret".to_owned());
    }
    println!("{}", KeyDigest::of(&key.key).as_str());
    Outcome::Done
}

/// Prints the routers' addresses for callers.
pub async fn addresses(args: &Args) -> Outcome {
    let (caller, _) = match caller_from_args(args) {
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

/// Streams a generated response and prints its tokens as they arrive.
pub async fn generate(args: &Args, ask: &Generate) -> Outcome {
    let (caller, _) = match caller_from_args(args) {
        Ok(found) => found,
        Err(outcome) => return outcome,
    };
    // If the addresses can't be fetched, the router at the given address may still serve the request.
    let _ = caller.addresses().await;
    let mut request = GenerateRequest::new(&ask.service, &ask.prompt, ask.max_tokens);
    request.priority = ask.priority;
    request.key.clone_from(&ask.key);
    let is_json = args.json;
    let streamed = caller.generate(&request, |token| {
        if !is_json {
            print!("{}", token.text);
            // A closed output doesn't end the call, as the exit code reports the result.
            let _ = std::io::stdout().flush();
        }
    });
    match streamed.await {
        Err(e) => Outcome::Failed(e.to_string()),
        Ok(response) => {
            if args.json {
                let line = json!({
                    "text": response.text(), "tokens": response.tokens.len(),
                    "proved": response.is_verified, "repeated": response.repeated,
                    "connections": response.connections,
                });
                println!("{line}");
            } else {
                println!();
            }
            if response.is_verified {
                Outcome::Done
            } else {
                Outcome::Failed(
                    "the number or the digest of the tokens differs from the router's".to_owned(),
                )
            }
        }
    }
}

/// Calls a plain service and prints the body of the response.
pub async fn call(args: &Args, call: &Call) -> Outcome {
    let (caller, address) = match caller_from_args(args) {
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
