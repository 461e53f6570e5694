//! `foldtrack load`: what it reports is what the partners' books say.

use super::site_process::PROGRAM;
use serde_json::Value;
use std::process::{Command, Output};

fn load(plan: &str, word: &str) -> Output {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("plan.toml");
    std::fs::write(&file, plan).unwrap();
    Command::new(PROGRAM).args(["load", word]).arg(&file).arg("--json").env_clear().output().unwrap()
}

fn reports(output: &Output) -> Vec<Value> {
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.lines().map(|line| serde_json::from_str(line).unwrap()).collect()
}

#[test]
fn a_run_delivers_all_that_was_taken_on_and_a_sweep_sets_it_beside_the_plain_client() {
    let plan =
        "rate = 200.0\nspan = \"2s\"\nkinds = [\"reset-after\", \"error\"]\n[sweep]\nfailing = [0.0, 0.1]\n";
    let all = reports(&load(plan, "sweep"));
    let ways: Vec<&str> = all.iter().filter_map(|r| r["way"].as_str()).collect();
    assert_eq!(ways, ["forwarder", "plain", "forwarder", "plain"]);
    for report in &all {
        let number = |name: &str| report[name].as_u64().unwrap();
        assert!(number("messages") > 300, "{report}");
        if report["way"] == "forwarder" {
            assert_eq!((number("open"), number("twice"), number("out_of_order")), (0, 0, 0), "{report}");
            let ends = number("delivered") + number("handed_back") + number("given_up") + number("in_doubt");
            assert_eq!(ends, number("taken"), "{report}");
            assert!(number("applied") >= number("delivered"), "{report}");
            assert_eq!(
                number("taken") + number("refused") + number("unanswered"),
                number("messages"),
                "{report}"
            );
        }
    }
    // The plain client knows no classes: a payment whose answer was lost goes again.
    assert!(all[3]["twice"].as_u64().unwrap() > 0, "{}", all[3]);
    assert!(all[0]["applied"] == all[0]["messages"], "{}", all[0]);
}

#[test]
fn a_plan_with_a_mistake_is_told_with_its_field() {
    let output = load("rate = 200.0\nfailing = 2.0\n", "run");
    let told = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        output.status.code() == Some(2) && told.contains("failing") && told.contains("plan.toml"),
        "{told}"
    );
}

/// Twice what the partners can do: refused at once and with a wait, and next to nothing that was taken on comes back.
#[test]
fn an_overload_is_refused_with_a_wait() {
    // Four at once of 20 ms: 200 a second each, 400 in all.
    let plan = "rate = 1200.0\nspan = \"6s\"\nmessages = 600\nanswers-from = \"20ms\"\nanswers-to = \"20ms\"\nat-once = 4\n";
    let all = reports(&load(plan, "run"));
    let number = |name: &str| all[0][name].as_f64().unwrap();
    assert!(number("refused") > 0.3 * number("messages"), "{}", all[0]);
    assert!(number("handed_back") < 0.02 * number("taken"), "{}", all[0]);
    assert!(number("told_wait_ms") > 200.0 && number("unanswered") == 0.0, "{}", all[0]);
    assert!(number("applied_a_second") > 200.0, "{}", all[0]);
}
