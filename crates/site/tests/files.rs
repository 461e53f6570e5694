//! Parsing and validation of site files: valid files, files with many errors, and paths that are not readable files.

use foldtrack_site::template::TEMPLATE;
use foldtrack_site::{load, parse, Effect};
use proptest::prelude::*;
use std::path::Path;

fn findings(text: &str) -> Vec<String> {
    let found = parse(Path::new("site.toml"), text).err().unwrap_or_default();
    found.iter().map(ToString::to_string).collect()
}

#[test]
fn the_template_is_valid_and_has_the_documented_settings() {
    let site = parse(Path::new("site.toml"), TEMPLATE).unwrap();
    assert_eq!(site.classes.len(), 2);
    let payment = &site.classes[0];
    assert_eq!(
        (payment.name.as_str(), payment.effect, payment.deadline),
        ("payment", Effect::Once, 24_000_000)
    );
    let record_change = &site.classes[1];
    assert!(
        record_change.ordered && record_change.remembered == 10_000_000 && record_change.aim == 3_000_000
    );
    let records = site.partners.iter().find(|p| p.name == "records-north").unwrap();
    assert_eq!((records.rate, records.slots, records.endpoints.len()), (Some(25.0), Some(16), 2));
    assert_eq!(site.kinds[records.kind].name, "records-office");
    assert_eq!(site.limits.memory, 256 << 20);
}

#[test]
fn admission_settings_are_parsed_and_errors_reported() {
    let with = |lines: &str| TEMPLATE.replace("known = []  ", &format!("{lines}\n#"));
    let site = parse(
        Path::new("site.toml"),
        &with("known = [\"10.1.2.3/16\", \"::ffff:192.0.2.1\"]\nper-address = 7"),
    )
    .unwrap();
    let known: Vec<String> = site.admission.known.iter().map(ToString::to_string).collect();
    assert_eq!((known.join(" ").as_str(), site.admission.per_address), ("10.1.0.0/16 192.0.2.1/32", Some(7)));
    for (line, expected) in [
        ("known = \"10.0.0.0/8\"", "a list of texts is needed"),
        ("known = [\"10.0.0.0/33\"]", "no address or network"),
        ("known = [7]", "a text in quotes"),
        ("v4-prefix = 33", "0 to 32"),
        ("burst = 0", "out of its range"),
        ("requests = 0", "1 to 1000000"),
    ] {
        let found = findings(&with(line));
        assert!(found.len() == 1 && found[0].contains(expected), "{line}: {found:?}");
    }
}

/// Dialect and authentication settings are parsed, and a dialect that does not work with messages of some class is reported
/// before any message is accepted.
#[test]
fn partner_dialects_are_parsed_and_unsupported_classes_reported() {
    let with = |lines: &str, proof: &str| {
        let text = TEMPLATE.replace("[partner.pay]\n", &format!("[partner.pay]\n{lines}\n"));
        format!("{text}\n{proof}\n")
    };
    let http = "speaks = \"http\"\npath = \"/v2/charges/{id}\"";
    let proof = "[partner.pay.proof]\nkind = \"basic\"\nuser = \"hradec\"\nsecret-file = \"/s\"";
    let more = "[partner.pay.headers]\nX-A = \"a-{class}\"\n[partner.pay.answers]\n409 = \"delivered\"";
    let site = parse(Path::new("site.toml"), &with(http, &format!("{proof}\n{more}"))).unwrap();
    let partner = |name: &str| site.partners.iter().find(|p| p.name == name).unwrap();
    let (pay, records) = (partner("pay"), partner("records-north"));
    assert_eq!(records.dialect, foldtrack_dialect::Dialect::foldtrack(), "the default dialect");
    assert_eq!(pay.dialect.answers.meaning(409), foldtrack_dialect::Meaning::Delivered);
    assert_eq!(pay.dialect.headers.len(), 1);
    assert_eq!(
        pay.proof.as_ref().unwrap().scheme,
        foldtrack_proof::AuthScheme::Basic { user: "hradec".into() }
    );
    for (lines, proof, expected) in [
        ("speaks = \"soap\"", "", "no way to speak"),
        ("speaks = \"http\"", "", "path: is missing"),
        ("speaks = \"http\"\npath = \"/{key}\"", "", "names {key}, which messages of payment don't have"),
        ("speaks = \"http\"\npath = \"/{kez}\"", "", "{kez} is no place"),
        (&format!("{http}\nkey-header = \"\""), "", "record-change go again with the same key"),
        (&format!("{http}\nkey-header = \"Content-Length\""), "", "is set by foldtrack itself"),
        (&format!("{http}\nmethod = \"GET\""), "", "can't carry a message"),
        (&format!("{http}\nhost = \"a b\""), "", "is no host"),
        ("speaks = \"webhook\"\npath = \"/\"", "", "a webhook is signed"),
        (http, "[partner.pay.proof]\nkind = \"bearer\"", "secret-file: is missing"),
        (http, "[partner.pay.proof]\nuser = \"u\"\nsecret-file = \"/s\"", "stands with kind = \"basic\""),
        (http, "[partner.pay.headers]\nHost = \"x\"", "is set by foldtrack itself"),
        (http, "[partner.pay.headers]\nIdempotency-Key = \"x\"", "is set by another field"),
        (http, "[partner.pay.headers]\nX-A = 7", "a text in quotes"),
        (http, "[partner.pay.answers]\n99 = \"wait\"", "no status or range"),
        (http, "[partner.pay.answers]\n\"400-410\" = \"wait\"\n404 = \"refused\"", "overlaps 400-410"),
        (http, "[partner.pay.answers]\n404 = \"gone\"", "is no meaning"),
    ] {
        let found = findings(&with(lines, proof));
        assert!(found.len() == 1 && found[0].contains(expected), "{lines} {proof}: {found:?}");
    }
}

/// The example files in the operators' documentation are valid.
#[test]
fn the_documented_example_files_are_valid() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/operators/partners.md");
    let page = std::fs::read_to_string(page).unwrap();
    let worked = page.split("## Worked files").nth(1).unwrap().split("## Connections").next().unwrap();
    let lines: Vec<&str> = worked.lines().filter_map(|line| line.strip_prefix("    ")).collect();
    let pin = "sha256/AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=";
    let text = lines
        .join("\n")
        .replace("sha256/BASE64-OF-TODAYS-KEY", pin)
        .replace("sha256/BASE64-OF-THE-NEXT", pin);
    let head = TEMPLATE.split("[partner.records-north]").next().unwrap();
    let site = parse(Path::new("site.toml"), &format!("{head}{text}")).map_err(|f| format!("{f:?}")).unwrap();
    assert_eq!(site.partners.len(), 3);
    assert!(site.partners.iter().all(|p| p.tls.is_some()));
}

/// The limits of a site file are well above the size of a fleet: 1,024 forwarders and as many endpoints are valid.
#[test]
fn a_thousand_forwarders_and_endpoints_are_valid() {
    let mut text = format!(
        "{TEMPLATE}\n[peers]\nname = \"f0\"\nlisten = \"127.0.0.1:7400\"\nsecret-file = \"/etc/foldtrack/peers.secret\"\n"
    );
    for n in 1..1024 {
        text += &format!("[peers.member.f{n}]\naddress = \"127.0.{}.{}:7400\"\n", n / 250, n % 250 + 1);
        text +=
            &format!("[partner.many.endpoint.e{n}]\naddress = \"127.1.{}.{}:8080\"\n", n / 250, n % 250 + 1);
    }
    text += "[partner.many]\n";
    let site = parse(Path::new("site.toml"), &text).unwrap();
    assert_eq!(site.peers.map_or(0, |peers| peers.members.len()), 1023);
    let many = site.partners.iter().find(|p| p.name == "many").unwrap();
    assert_eq!(many.endpoints.len(), 1023);
}

/// One pass reports all errors, each with its position and the expected value.
#[test]
fn every_error_gives_one_finding_with_its_position() {
    let text = r#"[site]
nmae = "x"
listen = "localhost"
state = ""
[limits]
memory = "lots"
descriptors = -5
disk = 3
messages = 0
calls = 5000
[ends]
count = "many"
age = "1 fortnight"
[class.v1]
effect = "twice"
deadline = "24s"
aim = "48s"
[class."a b"]
effect = "keyed"
deadline = "24s"
[class.fee]
effect = "once"
remembered = "10s"
worth = 0
late-worth = 1.5
[partner.p]
kind = "bank"
rate = "fast"
slots = 0
[partner.p.endpoint.a]
address = "p.example:80"
"#;
    let found = findings(text);
    let expected = [
        ("2:1: site.nmae:", "\"name\" is the nearest"),
        ("3:10: site.listen:", "names are not looked up"),
        ("4:9: site.state:", "/var/lib/foldtrack"),
        ("6:10: limits.memory:", "\"64KiB\""),
        ("7:15: limits.descriptors:", "whole number from 0"),
        ("8:8: limits.disk:", "text in quotes"),
        ("9:12: limits.messages:", "1 to 10000000"),
        ("10:9: limits.calls:", "lower `calls` or raise"),
        ("12:9: ends.count:", "whole number"),
        ("13:7: ends.age:", "\"3s\""),
        ("14:8: class.v1:", "listener's own"),
        ("15:10: class.v1.effect:", "\"once\""),
        ("17:7: class.v1.aim:", "later than the deadline"),
        ("18:8: class.a b:", "no name"),
        ("18:1: class.a b.remembered:", "is missing"),
        ("21:1: class.fee.deadline:", "deadline = \"24s\""),
        ("23:14: class.fee.remembered:", "only with effect"),
        ("24:9: class.fee.worth:", "0.001 to 1000"),
        ("25:14: class.fee.late-worth:", "0 to 1"),
        ("27:8: partner.p.kind:", "[kind.bank] adds it"),
        ("28:8: partner.p.rate:", "\"250 msgs/s\""),
        ("29:9: partner.p.slots:", "1 to 100000"),
        ("31:11: partner.p.endpoint.a.address:", "names are not looked up"),
    ];
    for (place, hint) in expected {
        let matches = |line: &&String| line.starts_with(&format!("site.toml:{place}")) && line.contains(hint);
        assert_eq!(found.iter().filter(matches).count(), 1, "{place} {hint}\n{}", found.join("\n"));
    }
    assert_eq!(found.len(), expected.len(), "{}", found.join("\n"));
}

#[test]
fn duplicates_and_syntax_errors_are_reported_with_other_errors() {
    let duplicates = "[partner.a.endpoint.x]\naddress = \"127.0.0.1:1\"\n[partner.b.endpoint.x]\naddress = \"127.0.0.1:1\"\n";
    let found = findings(&format!("{TEMPLATE}{duplicates}"));
    assert_eq!(found.len(), 2, "{found:?}");
    assert!(
        found.iter().any(|f| f.contains("endpoint of a too"))
            && found.iter().any(|f| f.contains("address of x too"))
    );
    let broken =
        TEMPLATE.replace("listen = \"127.0.0.1:8080\"", "listen = ").replace("attempts = 8", "attempts = 0");
    let found = findings(&broken);
    assert!(found.len() >= 2 && found.iter().any(|f| f.contains("limits.attempts")), "{found:?}");
    assert!(findings("").len() >= 3, "an empty file lacks all required settings");
}

#[test]
fn an_unreadable_file_gives_one_finding() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("site.toml");
    let expect_one = |path: &Path, hint: &str| {
        let found = load(path).unwrap_err();
        assert!(found.len() == 1 && found[0].to_string().contains(hint), "{found:?}");
    };
    expect_one(&path, "No such file");
    expect_one(folder.path(), "not a file");
    std::fs::write(&path, vec![b'#'; 5 << 20]).unwrap();
    expect_one(&path, "5242880 bytes");
    std::fs::write(&path, b"[site]\nname = \"\xff\"\n").unwrap();
    expect_one(&path, "not UTF-8 from byte 15");
    let long = TEMPLATE.replace("foldtrack-state", &"x".repeat(100));
    assert!(findings(&long).iter().any(|f| f.contains("site.state: is too long")));
}

proptest! {
    /// For any text removed from or inserted into a valid file, the result is a site or findings with positions.
    #[test]
    fn arbitrary_edits_do_not_panic_the_parser(at in 0..TEMPLATE.len(), length in 0usize..80, put in ".{0,12}") {
        let (mut from, mut to) = (at, (at + length).min(TEMPLATE.len()));
        while !TEMPLATE.is_char_boundary(from) { from -= 1; }
        while !TEMPLATE.is_char_boundary(to) { to += 1; }
        let text = format!("{}{put}{}", &TEMPLATE[..from], &TEMPLATE[to..]);
        if let Err(found) = parse(Path::new("site.toml"), &text) {
            prop_assert!(!found.is_empty() && found.iter().all(|f| f.position.is_some()));
        }
    }
}
