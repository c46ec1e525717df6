//! The commands of operators.
//!
//! Each function makes one call to a router, prints the result as text, or as JSON with `--json`, and
//! returns an [`Outcome`], which determines the exit code. Golden files pin the calls and the output.

use crate::Outcome;
use crate::args::{Args, Confirm, Drain, Plan, Show, Version};
use crate::table::print_rows;
use cloverpier_client::{ConfirmReport, Operator, PlanReport};
use cloverpier_config::{Change, ChangeKind, Intent};
use serde::Serialize;
use serde_json::Value;

fn operator_from_args(args: &Args) -> Result<Operator, Outcome> {
    let missing = "--router or CLOVERPIER_ROUTER: expected a router's port for operators";
    let router = args
        .router()
        .ok_or_else(|| Outcome::Usage(missing.to_owned()))?;
    // Without a key the router refuses the call, with an error that names the missing key.
    let key = std::env::var("CLOVERPIER_OPERATOR_KEY").unwrap_or_default();
    Ok(Operator::new(router, &key))
}

fn print_json<T: Serialize>(value: &T) {
    // All maps in the printed types have text keys, so serialization never fails.
    println!("{}", serde_json::to_string(value).unwrap_or_default());
}

fn read_intent(path: &str) -> Result<Intent, Outcome> {
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|e| Outcome::Usage(format!("{path}: {e}")))?;
    toml::from_str(&text).map_err(|e| Outcome::Usage(format!("{path}: {e}")))
}

/// Makes a plan for the intent of a TOML file, and prints the plan.
pub async fn plan(args: &Args, plan: &Plan) -> Outcome {
    let (operator, intent) = match (operator_from_args(args), read_intent(&plan.intent)) {
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
    let operator = match operator_from_args(args) {
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

/// Confirms a plan, and prints which routers don't act on the new version yet.
pub async fn confirm(args: &Args, confirm: &Confirm) -> Outcome {
    let operator = match operator_from_args(args) {
        Ok(operator) => operator,
        Err(outcome) => return outcome,
    };
    print_confirmation(args.json, operator.confirm(&confirm.plan).await)
}

/// Prints which routers don't act on a version yet.
pub async fn version(args: &Args, version: &Version) -> Outcome {
    let operator = match operator_from_args(args) {
        Ok(operator) => operator,
        Err(outcome) => return outcome,
    };
    print_confirmation(args.json, operator.version(version.version).await)
}

fn print_confirmation(
    json: bool,
    result: Result<ConfirmReport, cloverpier_client::OperatorError>,
) -> Outcome {
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

/// Prints the configuration in force at the router, as JSON.
pub async fn config(args: &Args) -> Outcome {
    let operator = match operator_from_args(args) {
        Ok(operator) => operator,
        Err(outcome) => return outcome,
    };
    match operator.config().await {
        Err(e) => Outcome::Failed(e.to_string()),
        Ok(config) => {
            println!(
                "{}",
                // All map keys are texts, so serialization never fails.
                serde_json::to_string_pretty(&config).unwrap_or_default()
            );
            Outcome::Done
        }
    }
}

/// Prints a router's state: its versions, members and upstreams.
pub async fn status(args: &Args) -> Outcome {
    let operator = match operator_from_args(args) {
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

fn cell_text(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}

fn table_rows(list: &Value, fields: &[&str]) -> Vec<Vec<String>> {
    // A field that is not a list is shown as an empty table.
    let list = list.as_array().cloned().unwrap_or_default();
    let row = |entry: &Value| fields.iter().map(|f| cell_text(&entry[*f])).collect();
    list.iter().map(row).collect()
}

fn print_status(status: &Value) {
    println!(
        "{} in {}: epoch {}, configuration {}, {} answers, {} copies, {} records",
        cell_text(&status["vm"]),
        cell_text(&status["data_centre"]),
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
    print_rows(false, &fields, &table_rows(&status["members"], &fields));
    println!();
    let fields = ["upstream", "takes_work", "load", "own"];
    print_rows(false, &fields, &table_rows(&status["upstreams"], &fields));
}

/// Marks an upstream as leaving, so that it receives no new requests, and prints which routers could
/// not be reached.
pub async fn drain(args: &Args, drain: &Drain) -> Outcome {
    let operator = match operator_from_args(args) {
        Ok(operator) => operator,
        Err(outcome) => return outcome,
    };
    match operator.leave(&drain.upstream).await {
        Err(e) => Outcome::Failed(e.to_string()),
        Ok(report) => {
            // A response without the field means that the mark reached all routers.
            let unreached = report["not_told"].as_array().cloned().unwrap_or_default();
            if args.json {
                print_json(&report);
            } else {
                println!("{} takes no new work", drain.upstream);
                for router in &unreached {
                    println!(
                        "  {} can't be reached; others will tell it",
                        cell_text(&router["vm"])
                    );
                }
            }
            if unreached.is_empty() {
                Outcome::Done
            } else {
                Outcome::Pending
            }
        }
    }
}

/// Starts a planned shutdown of the router.
pub async fn stop(args: &Args) -> Outcome {
    let operator = match operator_from_args(args) {
        Ok(operator) => operator,
        Err(outcome) => return outcome,
    };
    match operator.stop().await {
        Ok(()) => Outcome::Done,
        Err(e) => Outcome::Failed(e.to_string()),
    }
}
