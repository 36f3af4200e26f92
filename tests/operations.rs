//! Files that the pages for operators refer to.

use std::path::Path;

use primrosestack::settings::{Settings, TokenSettings};
use test_case::test_case;

fn folder() -> &'static Path {
    Path::new(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/docs/operations/settings"
    ))
}

/// Guards against example settings that no longer fit the settings, or leave out a host, a link or a shard.
#[test_case("fichaluz-poa-1.jsonc", 3; "fichaluz")]
#[test_case("ruta-caribe-limon-1.jsonc", 4; "ruta caribe")]
fn example_settings_name_nine_hosts(file: &str, failure_domains: usize) {
    let settings = Settings::open(folder().join(file)).unwrap();
    assert_eq!(settings.peers.len(), 9);
    let mut domains: Vec<_> = settings
        .peers
        .iter()
        .map(|peer| &peer.failure_domain)
        .collect();
    let own = domains
        .iter()
        .filter(|domain| ***domain == settings.failure_domain);
    assert_eq!(own.count(), settings.shards as usize);
    domains.sort();
    domains.dedup();
    assert_eq!(domains.len(), failure_domains);
    for domain in domains {
        let is_own = *domain == settings.failure_domain;
        assert_ne!(is_own, settings.links.contains_key(domain), "{domain}");
    }
    let this = settings
        .peers
        .iter()
        .find(|peer| peer.name == settings.name);
    assert_eq!(this.map(|peer| peer.address), Some(settings.peer_address));
}

/// Guards against an example of tokens that no longer fits the settings.
#[test]
fn example_tokens_can_be_read() {
    let text = std::fs::read_to_string(folder().join("tokens.json")).unwrap();
    let tokens: Vec<TokenSettings> = serde_json::from_str(&text).unwrap();
    assert!(tokens.iter().all(|token| token.sha256.len() == 64));
    assert!(tokens[0].operator && !tokens[1].operator);
}
