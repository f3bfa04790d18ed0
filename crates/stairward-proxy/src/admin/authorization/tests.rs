//! Tests of which requests are authorized.

use gotham::hyper::HeaderMap;
use gotham::hyper::header::{AUTHORIZATION, HeaderValue};

use super::{AdminToken, is_allowed};

fn headers(authorization: Option<&'static str>) -> HeaderMap {
    let mut headers = HeaderMap::new();
    if let Some(value) = authorization {
        headers.insert(AUTHORIZATION, HeaderValue::from_static(value));
    }
    headers
}

#[test]
fn remote_clients_need_the_token_and_a_wrong_token_is_rejected_on_loopback() {
    let token = AdminToken::new("secret");
    let cases = [
        ("127.0.0.1", None, true),
        ("::1", None, true),
        ("10.0.0.7", None, false),
        ("10.0.0.7", Some("Bearer secret"), true),
        ("10.0.0.7", Some("Bearer Secret"), false),
        ("10.0.0.7", Some("Bearer secret2"), false),
        ("10.0.0.7", Some("Basic secret"), false),
        ("10.0.0.7", Some("Bearer "), false),
        ("127.0.0.1", Some("Bearer wrong"), false),
    ];
    for (address, presented, expected) in cases {
        let client = address.parse().ok();
        let allowed = is_allowed(client, &headers(presented), Some(&token));
        assert_eq!(allowed, expected, "{address} {presented:?}");
    }
}

#[test]
fn remote_clients_are_rejected_when_no_token_is_configured() {
    let client = "10.0.0.7".parse().ok();
    assert!(!is_allowed(client, &headers(Some("Bearer x")), None));
    assert!(!is_allowed(None, &headers(None), None));
}
