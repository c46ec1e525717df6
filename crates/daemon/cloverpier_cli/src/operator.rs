//! Commands of operators.
//!
//! Each makes one call to a router, prints for people or JSON with `--json`, and returns the exit
//! code's reason. Golden files hold calls and output.

use crate::Outcome;
use crate::args::{Args, Confirm, Drain, Plan, Show, Version};
use crate::table::print_rows;
use cloverpier_client::{ConfirmReport, Operator, PlanReport};
use cloverpier_config::{Change, ChangeKind, Intent};
use serde::Serialize;
use serde_json::Value;

fn operator_of(args: &Args) -> Result<Operator, Outcome> {
    let missing = "--router or CLOVERPIER_ROUTER: expected a router's port for operators";
    let router = args
        .router()
        .ok_or_else(|| Outcome::Usage(missing.to_owned()))?;
    // Without a key the router refuses the call and says so.
    let key = std::env::var("CLOVERPIER_OPERATOR_KEY").unwrap_or_default();
    Ok(Operator::new(router, &key))
}

fn print_json<T: Serialize>(value: &T) {
    // The types printed here have only text keys, so they can always be written as JSON.
    println!("{}", serde_json::to_string(value).unwrap_or_default());
}

fn read_intent(path: &str) -> Result<Intent, Outcome> {
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|e| Outcome::Usage(format!("{path}: {e}")))?;
    toml::from_str(&text).map_err(|e| Outcome::Usage(format!("{path}: {e}")))
}

/// Asks for a plan and prints it.
pub async fn plan(args: &Args, plan: &Plan) -> Outcome {
    let (operator, intent) = match (operator_of(args), read_intent(&plan.intent)) {
        (Ok(operator), Ok(intent)) => (operator, intent),
        (Err(outcome), _) | (_, Err(outcome)) => return outcome,
    };
    match operator.plan(&intent).await {
        Err(e) => Outcome::Failed(e.to_string()),
        Ok(planned) => {
            print_plan(args.json, &planned);
            Outcome::Done
        }
    }
}

/// Prints a stored plan.
pub async fn show(args: &Args, show: &Show) -> Outcome {
    let operator = match operator_of(args) {
        Ok(operator) => operator,
        Err(outcome) => return outcome,
    };
    match operator.show(&show.plan).await {
        Err(e) => Outcome::Failed(e.to_string()),
        Ok(planned) => {
            print_plan(args.json, &planned);
            Outcome::Done
        }
    }
}

fn print_plan(json: bool, planned: &PlanReport) {
    if json {
        return print_json(planned);
    }
    println!("plan {} against version {}", planned.id, planned.plan.base);
    if planned.plan.changes.is_empty() {
        println!("  nothing would change");
    }
    for change in &planned.plan.changes {
        print_change(change);
    }
    println!("to put it in force: cloverpier confirm {}", planned.id);
}

fn print_change(change: &Change) {
    let sign = match change.kind {
        ChangeKind::Create => '+',
        ChangeKind::Replace => '~',
        ChangeKind::Remove => '-',
    };
    println!("{sign} {}", change.item);
    if let Some(before) = &change.before {
        println!("    - {before}");
    }
    if let Some(after) = &change.after {
        println!("    + {after}");
    }
}

/// Confirms a plan.
pub async fn confirm(args: &Args, confirm: &Confirm) -> Outcome {
    let operator = match operator_of(args) {
        Ok(operator) => operator,
        Err(outcome) => return outcome,
    };
    report(args.json, operator.confirm(&confirm.plan).await)
}

/// Prints which routers act on a version.
pub async fn version(args: &Args, version: &Version) -> Outcome {
    let operator = match operator_of(args) {
        Ok(operator) => operator,
        Err(outcome) => return outcome,
    };
    report(args.json, operator.version(version.version).await)
}

fn report(json: bool, result: Result<ConfirmReport, cloverpier_client::OperatorError>) -> Outcome {
    let confirmed = match result {
        Ok(confirmed) => confirmed,
        Err(e) => return Outcome::Failed(e.to_string()),
    };
    if json {
        print_json(&confirmed);
    } else {
        println!("{}: version {}", confirmed.outcome, confirmed.version);
        for router in &confirmed.waiting {
            match router.version {
                Some(version) => println!("  {} acts on version {version}", router.vm),
                None => println!("  {} can't be reached", router.vm),
            }
        }
    }
    if confirmed.outcome == "accepted" {
        Outcome::Done
    } else {
        Outcome::Pending
    }
}

/// Prints the configuration in force.
pub async fn config(args: &Args) -> Outcome {
    let operator = match operator_of(args) {
        Ok(operator) => operator,
        Err(outcome) => return outcome,
    };
    match operator.config().await {
        Err(e) => Outcome::Failed(e.to_string()),
        Ok(config) => {
            println!(
                "{}",
                // As in `print_json`.
                serde_json::to_string_pretty(&config).unwrap_or_default()
            );
            Outcome::Done
        }
    }
}

/// Prints a router's state.
pub async fn status(args: &Args) -> Outcome {
    let operator = match operator_of(args) {
        Ok(operator) => operator,
        Err(outcome) => return outcome,
    };
    match operator.status().await {
        Err(e) => Outcome::Failed(e.to_string()),
        Ok(status) => {
            if args.json {
                print_json(&status);
            } else {
                print_status(&status);
            }
            Outcome::Done
        }
    }
}

fn cell(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}

fn rows(list: &Value, fields: &[&str]) -> Vec<Vec<String>> {
    // A field that is no list is shown as an empty table.
    let list = list.as_array().cloned().unwrap_or_default();
    let row = |one: &Value| fields.iter().map(|f| cell(&one[*f])).collect();
    list.iter().map(row).collect()
}

fn print_status(status: &Value) {
    println!(
        "{} in {}: epoch {}, configuration {}, {} answers, {} copies, {} records",
        cell(&status["vm"]),
        cell(&status["data_centre"]),
        status["epoch"],
        status["version"],
        status["answers"],
        status["copies"],
        status["records"],
    );
    println!();
    let fields = [
        "vm",
        "data_centre",
        "callers_at",
        "peers_at",
        "stopping",
        "suspected",
    ];
    print_rows(false, &fields, &rows(&status["members"], &fields));
    println!();
    let fields = ["upstream", "takes_work", "load", "own"];
    print_rows(false, &fields, &rows(&status["upstreams"], &fields));
}

/// Gives an upstream no new work.
pub async fn drain(args: &Args, drain: &Drain) -> Outcome {
    let operator = match operator_of(args) {
        Ok(operator) => operator,
        Err(outcome) => return outcome,
    };
    match operator.leave(&drain.upstream).await {
        Err(e) => Outcome::Failed(e.to_string()),
        Ok(left) => {
            // A reply without the field lists no router that the drain did not reach.
            let not_told = left["not_told"].as_array().cloned().unwrap_or_default();
            if args.json {
                print_json(&left);
            } else {
                println!("{} takes no new work", drain.upstream);
                for router in &not_told {
                    println!(
                        "  {} can't be reached; others will tell it",
                        cell(&router["vm"])
                    );
                }
            }
            if not_told.is_empty() {
                Outcome::Done
            } else {
                Outcome::Pending
            }
        }
    }
}

/// Begins a planned stop.
pub async fn stop(args: &Args) -> Outcome {
    let operator = match operator_of(args) {
        Ok(operator) => operator,
        Err(outcome) => return outcome,
    };
    match operator.stop().await {
        Ok(()) => Outcome::Done,
        Err(e) => Outcome::Failed(e.to_string()),
    }
}
