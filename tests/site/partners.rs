//! Partners that were not written for foldtrack: their paths, answers, waits and limits, and proof of who calls.

use super::site_process::*;
use foldtrack_proof::{headers, AuthScheme, Secrets, SignedCall};
use foldtrack_standin::http::{Reply, Request, Server, OK};
use std::fs::{self, Permissions};
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};
use tempfile::TempDir;

const MS: fn(u64) -> Duration = Duration::from_millis;

/// A site whose one partner is spoken to by these lines.
fn spoken_to(
    lines: &str, behaviour: impl Fn(&Request) -> Reply + Send + Sync + 'static,
) -> (Arc<Server>, SiteProcess) {
    let server = Server::start(behaviour);
    let mut plan = SiteConfig::with_endpoints(&[("p", "a", server.address)]);
    plan.partner = lines.to_string();
    (server, SiteProcess::start(&plan))
}

fn submit(site: &SiteProcess, class: &str, key: &str, id: &str) {
    let (status, _) = site.post(class, key, id, "{\"amount\":7}");
    assert_eq!(status, 202, "{id}");
}

fn ends_as(site: &SiteProcess, id: &str, state: &str) {
    eventually(&format!("{id} is {state}"), || site.message_state(id) == state);
}

fn calls_of<'a>(seen: &'a [Request], id: &str) -> Vec<&'a Request> {
    seen.iter().filter(|r| r.path.ends_with(&format!("/{id}"))).collect()
}

/// What usual services answer: 2xx delivers, other 4xx and redirects end the message, 5xx may have run; and a line of the site's
/// own counts before all that.
#[test]
fn answers_of_usual_services_mean_what_rfc_9110_says() {
    let lines = "speaks = \"http\"\npath = \"/v2/{class}/{id}\"\n[partner.p.answers]\n409 = \"delivered\"\n507 = \"has-not-run\"\n";
    let (server, site) = spoken_to(lines, |request| {
        let name = request.path.rsplit('/').next().unwrap_or("").to_string();
        match name.split('-').next().unwrap_or("") {
            "202" => Reply::Status(202, ""),
            "204" => Reply::Raw(b"HTTP/1.1 204 No Content\r\n\r\n"),
            "307" => Reply::Status(307, "Location: http://127.0.0.1:1/elsewhere\r\n"),
            "409" => Reply::Status(409, ""),
            "422" => Reply::Status(422, ""),
            "500" => Reply::Status(500, ""),
            // As if it had no room for it at first.
            "507" if request.at.elapsed() < MS(1) => Reply::Status(507, ""),
            _ => OK,
        }
    });
    for (id, state) in [
        ("202-a", "delivered"),
        ("204-a", "delivered"),
        ("307-a", "given_up"),
        ("409-a", "delivered"),
        ("422-a", "given_up"),
        ("500-a", "in_doubt"),
    ] {
        // A payment: what may have run can't be repeated, and is in doubt.
        submit(&site, "fee", "", id);
        if id != "500-a" {
            ends_as(&site, id, state);
        }
        assert!(calls_of(&server.seen(), id).len() <= 1, "{id} went twice");
    }
    let refused = site.message("422-a").unwrap();
    assert_eq!((refused.attempts[0].outcome.as_str(), refused.attempts[0].may_have_run), ("refused", false));
    let seen = server.seen();
    let call = calls_of(&seen, "202-a")[0];
    assert_eq!((call.method.as_str(), call.path.as_str()), ("POST", "/v2/fee/202-a"));
    assert_eq!(call.headers["content-type"], "application/json");
    assert!(!call.headers.contains_key("x-deadline") && !call.headers.contains_key("x-request-id"));
    // What has not run goes again, a payment too.
    server.behave({
        let first = std::sync::atomic::AtomicBool::new(true);
        move |_| match first.swap(false, std::sync::atomic::Ordering::SeqCst) {
            true => Reply::Status(507, ""),
            false => OK,
        }
    });
    submit(&site, "fee", "", "507-a");
    ends_as(&site, "507-a", "delivered");
    assert_eq!(calls_of(&server.seen(), "507-a").len(), 2);
    // Nothing is handed in again that was refused for good.
    assert_eq!(site.post("fee", "", "422-a", "x").0, 409);
}

/// `Retry-After` is a wait for the whole partner, in seconds and as a date.
#[test]
fn retry_after_is_heeded_for_every_message() {
    let lines = "speaks = \"http\"\npath = \"/n/{id}\"\n";
    for date in [false, true] {
        let (server, site) = spoken_to(lines, |_| OK);
        submit(&site, "note", "", "warm");
        ends_as(&site, "warm", "delivered");
        let (told, wait) = match date {
            false => ("Retry-After: 1.5\r\n".to_string(), MS(1_400)),
            // A date has whole seconds: between two and three from now.
            true => {
                let at = std::time::SystemTime::now() + Duration::from_secs(3);
                (format!("Retry-After: {}\r\n", httpdate::fmt_http_date(at)), MS(1_500))
            }
        };
        let first = std::sync::atomic::AtomicBool::new(true);
        server.behave(move |_| match first.swap(false, std::sync::atomic::Ordering::SeqCst) {
            true => Reply::Headers(429, told.clone()),
            false => OK,
        });
        submit(&site, "note", "", "told");
        eventually("it is told", || server.seen().len() == 2);
        let from = Instant::now();
        for n in 0..5 {
            submit(&site, "fee", "", &format!("f{n}"));
        }
        eventually("all go", || site.status().delivered == 7);
        let early = server.seen().iter().skip(2).filter(|r| r.at < from + wait).count();
        assert_eq!(early, 0, "sent while it was told to wait");
    }
}

/// Values of messages stay in their places, whatever they hold; and what can't be sent at all ends at once.
#[test]
fn ids_and_keys_stay_in_their_places() {
    let lines =
        "speaks = \"http\"\npath = \"/n/{id}?c={class}\"\n[partner.p.headers]\nX-Source = \"site-{class}\"\n";
    let (server, site) = spoken_to(lines, |_| OK);
    for (id, path) in [
        ("a/../b", "/n/a%2F..%2Fb?c=note"),
        ("x%2fy", "/n/x%252fy?c=note"),
        ("q?x=1#f", "/n/q%3Fx%3D1%23f?c=note"),
    ] {
        submit(&site, "note", "", id);
        eventually("the call", || server.seen().last().is_some_and(|r| r.path == path));
    }
    assert!(server.seen().iter().all(|r| r.headers["x-source"] == "site-note"));
    let before = server.seen().len();
    // A server would take it for a step upwards.
    let begun = Instant::now();
    submit(&site, "note", "", "..");
    eventually("it has ended", || site.message("..").is_some_and(|m| m.state == "given_up"));
    assert!(begun.elapsed() < Duration::from_secs(10) && server.seen().len() == before);
}

/// A partner that tells a rate is called no faster, from its first answer on.
#[test]
fn a_rate_that_answers_tell_is_kept_to() {
    let lines = "speaks = \"http\"\npath = \"/n/{id}\"\n";
    let told = "RateLimit-Policy: \"all\";q=10;w=1\r\nRateLimit: \"all\";r=5;t=1\r\n";
    let (server, site) = spoken_to(lines, move |_| Reply::Status(200, told));
    submit(&site, "note", "", "first");
    ends_as(&site, "first", "delivered");
    for n in 0..40 {
        submit(&site, "note", "", &format!("m{n}"));
    }
    eventually("all are delivered", || site.status().delivered == 41);
    let seen = server.seen();
    let busiest = seen.iter().map(|from| {
        seen.iter().filter(|r| r.at >= from.at && r.at < from.at + Duration::from_secs(1)).count()
    });
    // Ten a second and a little for chance; without the limit all forty go within a moment.
    assert!(busiest.max().unwrap() <= 22, "too fast");
    let partner = site.run_command(&["partners"]);
    assert!(partner.status.success());
}

struct SecretFile {
    _folder: TempDir,
    path: PathBuf,
}

impl SecretFile {
    fn with(text: &str) -> SecretFile {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("secret");
        let file = SecretFile { _folder: folder, path };
        file.set(text, 0o600);
        file
    }

    /// Put in its place in one step, as an operator should.
    fn set(&self, text: &str, mode: u32) {
        let new = self.path.with_extension("new");
        fs::write(&new, text).unwrap();
        fs::set_permissions(&new, Permissions::from_mode(mode)).unwrap();
        fs::rename(&new, &self.path).unwrap();
    }

    fn lines(&self, speaks: &str, kind: &str) -> String {
        let path = self.path.display();
        format!("speaks = \"{speaks}\"\npath = \"/n/{{id}}\"\n[partner.p.proof]\nkind = \"{kind}\"\nsecret-file = \"{path}\"\n")
    }
}

/// A token is changed while messages go, and none is lost: the partner takes both for a while, as partners do.
#[test]
fn a_token_changes_while_messages_go() {
    let secret = SecretFile::with("first-token\n");
    let (server, site) = spoken_to(&secret.lines("http", "bearer"), |request| {
        match request.headers.get("authorization").map(String::as_str) {
            Some("Bearer first-token" | "Bearer second-token") => OK,
            _ => Reply::Status(401, ""),
        }
    });
    let mut sent = 0;
    let mut go_on = |from: Instant, until: &dyn Fn() -> bool| {
        while !until() {
            assert!(from.elapsed() < PATIENCE, "the new token is not used");
            submit(&site, "fee", "", &format!("f{sent}"));
            sent += 1;
            sleep(MS(10));
        }
    };
    let with = |token: &str| server.seen().iter().any(|r| r.headers["authorization"].ends_with(token));
    go_on(Instant::now(), &|| with("first-token"));
    secret.set("second-token\n", 0o600);
    go_on(Instant::now(), &|| with("second-token"));
    // One that others may read is not taken, nor one that is no token; the last stays.
    for (text, mode) in [("third-token\n", 0o644), ("no token at all\n", 0o600)] {
        secret.set(text, mode);
        let from = Instant::now();
        go_on(from, &|| from.elapsed() > MS(2_500));
    }
    eventually("all are delivered", || site.status().delivered == sent);
    assert!(!with("third-token") && !with("all"));
    let last = server.seen().last().cloned().unwrap();
    assert_eq!(last.headers["authorization"], "Bearer second-token");
}

/// Every attempt is signed for its own moment, by both secrets during a change.
#[test]
fn a_webhook_is_signed_and_its_id_stays() {
    let one = "whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw";
    let two = "whsec_AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8=";
    let secret = SecretFile::with(&format!("{one}\n{two}\n"));
    let first = std::sync::atomic::AtomicBool::new(true);
    let (server, site) = spoken_to(&secret.lines("webhook", "webhook"), move |_| {
        match first.swap(false, std::sync::atomic::Ordering::SeqCst) {
            true => Reply::Status(500, ""),
            false => Reply::Status(204, ""),
        }
    });
    submit(&site, "note", "", "n1");
    ends_as(&site, "n1", "delivered");
    let seen = server.seen();
    assert_eq!(seen.len(), 2);
    for call in &seen {
        assert_eq!(call.headers["webhook-id"], "n1");
        let unix: u64 = call.headers["webhook-timestamp"].parse().unwrap();
        let secrets = Secrets::parse(&AuthScheme::Webhook, format!("{one}\n{two}").as_bytes()).unwrap();
        let made = headers(
            &AuthScheme::Webhook,
            &secrets,
            SignedCall { id: "n1", timestamp: unix, body: &call.body },
        )
        .unwrap();
        assert_eq!(call.headers["webhook-signature"], made[2].1.to_str().unwrap());
        assert_eq!(call.headers["webhook-signature"].split(' ').count(), 2);
    }
    // Its id would be taken for another id and time: it can't be signed, and ends at once.
    submit(&site, "fee", "", "a.b");
    eventually("it has ended", || site.message_state("a.b") == "given_up");
    assert_eq!(server.seen().len(), 2);
}

#[test]
fn a_secret_that_cannot_be_used_is_told_before_anything_is_taken_on() {
    let secret = SecretFile::with("hidden-token\n");
    let server = Server::start(|_| OK);
    let mut plan = SiteConfig::with_endpoints(&[("p", "a", server.address)]);
    plan.partner = secret.lines("http", "bearer");
    let site = SiteProcess::prepared(&plan);
    let starts = || {
        let output = site.run_command(&["serve", "--site", site.site_file().to_str().unwrap()]);
        (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
    };
    for (text, mode, told) in [
        ("hidden-token\n", 0o644, "mode 644 lets others at it"),
        ("hidden token\n", 0o600, "line 1: has characters that no token has"),
        ("\n", 0o600, "is empty"),
    ] {
        secret.set(text, mode);
        let (code, output) = starts();
        assert!(code == Some(1) && output.contains(told) && output.contains("partner.p.proof"), "{output}");
        assert!(!output.contains("hidden"), "{output}");
    }
    fs::remove_file(&secret.path).unwrap();
    assert!(starts().1.contains("No such file"));
}
