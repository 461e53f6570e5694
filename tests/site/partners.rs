//! Partners with their own protocols: their paths, responses, requested waits and rate limits, and
//! authentication.

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

/// Starts a site whose only partner is configured by these lines.
fn site_with_partner(
    lines: &str, behaviour: impl Fn(&Request) -> Reply + Send + Sync + 'static,
) -> (Arc<Server>, SiteProcess) {
    let server = Server::start(behaviour);
    let mut config = SiteConfig::with_endpoints(&[("p", "a", server.address)]);
    config.partner = lines.to_string();
    (server, SiteProcess::start(&config))
}

/// Submits a message that must be accepted.
fn submit(site: &SiteProcess, class: &str, key: &str, id: &str) {
    let (status, _) = site.post(class, key, id, "{\"amount\":7}");
    assert_eq!(status, 202, "{id}");
}

/// Waits until a message is in a state.
fn wait_for_state(site: &SiteProcess, id: &str, state: &str) {
    eventually(&format!("{id} is {state}"), || site.message_state(id) == state);
}

/// The calls for the message with this id.
fn calls_of<'a>(seen: &'a [Request], id: &str) -> Vec<&'a Request> {
    seen.iter().filter(|r| r.path.ends_with(&format!("/{id}"))).collect()
}

/// Status codes have their usual meaning: 2xx is delivered, other 4xx and redirects end the
/// message, and 5xx may have run. The site's own `answers` override this.
#[test]
fn status_codes_are_interpreted_by_rfc_9110() {
    let lines = "speaks = \"http\"\npath = \"/v2/{class}/{id}\"\n[partner.p.answers]\n409 = \"delivered\"\n507 = \"has-not-run\"\n";
    let (server, site) = site_with_partner(lines, |request| {
        let name = request.path.rsplit('/').next().unwrap_or("").to_string();
        match name.split('-').next().unwrap_or("") {
            "202" => Reply::Status(202, ""),
            "204" => Reply::Raw(b"HTTP/1.1 204 No Content\r\n\r\n"),
            "307" => Reply::Status(307, "Location: http://127.0.0.1:1/elsewhere\r\n"),
            "409" => Reply::Status(409, ""),
            "422" => Reply::Status(422, ""),
            "500" => Reply::Status(500, ""),
            // Insufficient storage on the first call.
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
        // A payment: an attempt that may have run cannot be repeated, so the message is in doubt.
        submit(&site, "fee", "", id);
        if id != "500-a" {
            wait_for_state(&site, id, state);
        }
        assert!(calls_of(&server.seen(), id).len() <= 1, "{id} was sent twice");
    }
    let refused = site.message("422-a").unwrap();
    assert_eq!((refused.attempts[0].outcome.as_str(), refused.attempts[0].may_have_run), ("refused", false));
    let seen = server.seen();
    let call = calls_of(&seen, "202-a")[0];
    assert_eq!((call.method.as_str(), call.path.as_str()), ("POST", "/v2/fee/202-a"));
    assert_eq!(call.headers["content-type"], "application/json");
    assert!(!call.headers.contains_key("x-deadline") && !call.headers.contains_key("x-request-id"));
    // An attempt that has not run is repeated, even for a payment.
    server.behave({
        let first = std::sync::atomic::AtomicBool::new(true);
        move |_| match first.swap(false, std::sync::atomic::Ordering::SeqCst) {
            true => Reply::Status(507, ""),
            false => OK,
        }
    });
    submit(&site, "fee", "", "507-a");
    wait_for_state(&site, "507-a", "delivered");
    assert_eq!(calls_of(&server.seen(), "507-a").len(), 2);
    // A message that was refused permanently is not accepted again.
    assert_eq!(site.post("fee", "", "422-a", "x").0, 409);
}

/// `Retry-After` applies to all messages of the partner, given in seconds or as a date.
#[test]
fn retry_after_applies_to_all_messages_of_the_partner() {
    let lines = "speaks = \"http\"\npath = \"/n/{id}\"\n";
    for date in [false, true] {
        let (server, site) = site_with_partner(lines, |_| OK);
        submit(&site, "note", "", "warm");
        wait_for_state(&site, "warm", "delivered");
        let (header, wait) = match date {
            false => ("Retry-After: 1.5\r\n".to_string(), MS(1_400)),
            // A date has a resolution of one second: this one is between two and three seconds from
            // now.
            true => {
                let at = std::time::SystemTime::now() + Duration::from_secs(3);
                (format!("Retry-After: {}\r\n", httpdate::fmt_http_date(at)), MS(1_500))
            }
        };
        let first = std::sync::atomic::AtomicBool::new(true);
        server.behave(move |_| match first.swap(false, std::sync::atomic::Ordering::SeqCst) {
            true => Reply::Headers(429, header.clone()),
            false => OK,
        });
        submit(&site, "note", "", "told");
        eventually("the wait is requested", || server.seen().len() == 2);
        let since = Instant::now();
        for n in 0..5 {
            submit(&site, "fee", "", &format!("f{n}"));
        }
        eventually("all are delivered", || site.status().delivered == 7);
        let early = server.seen().iter().skip(2).filter(|r| r.at < since + wait).count();
        assert_eq!(early, 0, "sent during the requested wait");
    }
}

/// Ids and keys are escaped, so that they cannot change the rest of the request. A message that
/// cannot be sent at all ends at once.
#[test]
fn ids_and_keys_are_escaped_in_paths() {
    let lines =
        "speaks = \"http\"\npath = \"/n/{id}?c={class}\"\n[partner.p.headers]\nX-Source = \"site-{class}\"\n";
    let (server, site) = site_with_partner(lines, |_| OK);
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
    // A server would resolve this path segment to the parent.
    let begun = Instant::now();
    submit(&site, "note", "", "..");
    eventually("it has ended", || site.message("..").is_some_and(|m| m.state == "given_up"));
    assert!(begun.elapsed() < Duration::from_secs(10) && server.seen().len() == before);
}

/// A rate limit in a partner's responses is observed from the first response on.
#[test]
fn a_rate_limit_in_responses_is_observed() {
    let lines = "speaks = \"http\"\npath = \"/n/{id}\"\n";
    let expected = "RateLimit-Policy: \"all\";q=10;w=1\r\nRateLimit: \"all\";r=5;t=1\r\n";
    let (server, site) = site_with_partner(lines, move |_| Reply::Status(200, expected));
    submit(&site, "note", "", "first");
    wait_for_state(&site, "first", "delivered");
    for n in 0..40 {
        submit(&site, "note", "", &format!("m{n}"));
    }
    eventually("all are delivered", || site.status().delivered == 41);
    let seen = server.seen();
    let busiest = seen.iter().map(|from| {
        seen.iter().filter(|r| r.at >= from.at && r.at < from.at + Duration::from_secs(1)).count()
    });
    // Ten a second, with a tolerance; without the limit, all forty would be sent almost at once.
    assert!(busiest.max().unwrap() <= 22, "too fast");
    let partner = site.run_command(&["partners"]);
    assert!(partner.status.success());
}

/// A secret in a temporary file.
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

    /// Replaces the file atomically, as an operator should.
    fn set(&self, text: &str, mode: u32) {
        let new = self.path.with_extension("new");
        fs::write(&new, text).unwrap();
        fs::set_permissions(&new, Permissions::from_mode(mode)).unwrap();
        fs::rename(&new, &self.path).unwrap();
    }

    /// The site file's lines for a partner that uses this secret.
    fn lines(&self, speaks: &str, kind: &str) -> String {
        let path = self.path.display();
        format!("speaks = \"{speaks}\"\npath = \"/n/{{id}}\"\n[partner.p.proof]\nkind = \"{kind}\"\nsecret-file = \"{path}\"\n")
    }
}

/// A token is rotated while messages are sent, and none is lost. The partner accepts both tokens
/// for a while.
#[test]
fn a_token_is_rotated_without_losing_messages() {
    let secret = SecretFile::with("first-token\n");
    let (server, site) = site_with_partner(&secret.lines("http", "bearer"), |request| {
        match request.headers.get("authorization").map(String::as_str) {
            Some("Bearer first-token" | "Bearer second-token") => OK,
            _ => Reply::Status(401, ""),
        }
    });
    let mut sent = 0;
    let mut submit_until = |from: Instant, until: &dyn Fn() -> bool| {
        while !until() {
            assert!(from.elapsed() < PATIENCE, "the new token is not used");
            submit(&site, "fee", "", &format!("f{sent}"));
            sent += 1;
            sleep(MS(10));
        }
    };
    let used_token = |token: &str| server.seen().iter().any(|r| r.headers["authorization"].ends_with(token));
    submit_until(Instant::now(), &|| used_token("first-token"));
    secret.set("second-token\n", 0o600);
    submit_until(Instant::now(), &|| used_token("second-token"));
    // A file that others may read is rejected, and so is an invalid token; the previous token stays
    // in use.
    for (text, mode) in [("third-token\n", 0o644), ("no token at all\n", 0o600)] {
        secret.set(text, mode);
        let since = Instant::now();
        submit_until(since, &|| since.elapsed() > MS(2_500));
    }
    eventually("all are delivered", || site.status().delivered == sent);
    assert!(!used_token("third-token") && !used_token("all"));
    let last = server.seen().last().cloned().unwrap();
    assert_eq!(last.headers["authorization"], "Bearer second-token");
}

/// Each attempt is signed with its own timestamp, and with both secrets during a rotation.
#[test]
fn webhook_attempts_are_signed_and_keep_their_id() {
    let one = "whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw";
    let two = "whsec_AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8=";
    let secret = SecretFile::with(&format!("{one}\n{two}\n"));
    let first = std::sync::atomic::AtomicBool::new(true);
    let (server, site) = site_with_partner(&secret.lines("webhook", "webhook"), move |_| {
        match first.swap(false, std::sync::atomic::Ordering::SeqCst) {
            true => Reply::Status(500, ""),
            false => Reply::Status(204, ""),
        }
    });
    submit(&site, "note", "", "n1");
    wait_for_state(&site, "n1", "delivered");
    let seen = server.seen();
    assert_eq!(seen.len(), 2);
    for call in &seen {
        assert_eq!(call.headers["webhook-id"], "n1");
        let unix: u64 = call.headers["webhook-timestamp"].parse().unwrap();
        let secrets = Secrets::parse(&AuthScheme::Webhook, format!("{one}\n{two}").as_bytes()).unwrap();
        let expected = headers(
            &AuthScheme::Webhook,
            &secrets,
            SignedCall { id: "n1", timestamp: unix, body: &call.body },
        )
        .unwrap();
        assert_eq!(call.headers["webhook-signature"], expected[2].1.to_str().unwrap());
        assert_eq!(call.headers["webhook-signature"].split(' ').count(), 2);
    }
    // The signed text joins id and timestamp with a dot, so an id with a dot is ambiguous: it
    // cannot be signed, and the message ends at once.
    submit(&site, "fee", "", "a.b");
    eventually("it has ended", || site.message_state("a.b") == "given_up");
    assert_eq!(server.seen().len(), 2);
}

#[test]
fn an_unusable_secret_is_reported_before_messages_are_accepted() {
    let secret = SecretFile::with("hidden-token\n");
    let server = Server::start(|_| OK);
    let mut config = SiteConfig::with_endpoints(&[("p", "a", server.address)]);
    config.partner = secret.lines("http", "bearer");
    let site = SiteProcess::prepared(&config);
    let starts = || {
        let output = site.run_command(&["serve", "--site", site.site_file().to_str().unwrap()]);
        (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
    };
    for (text, mode, expected) in [
        ("hidden-token\n", 0o644, "mode 644 lets others at it"),
        ("hidden token\n", 0o600, "line 1: has characters that no token has"),
        ("\n", 0o600, "is empty"),
    ] {
        secret.set(text, mode);
        let (code, output) = starts();
        assert!(
            code == Some(1) && output.contains(expected) && output.contains("partner.p.proof"),
            "{output}"
        );
        assert!(!output.contains("hidden"), "{output}");
    }
    fs::remove_file(&secret.path).unwrap();
    assert!(starts().1.contains("No such file"));
}
