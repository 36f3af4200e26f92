//! Links in the documentation, and the example settings.

use std::path::{Path, PathBuf};

use primrosestack::settings::Settings;
use test_case::test_case;

const ROOT: &str = env!("CARGO_MANIFEST_DIR");

/// Markdown files of a directory.
fn pages(directory: &Path) -> Vec<PathBuf> {
    let files = std::fs::read_dir(directory).unwrap();
    let paths = files.map(|file| file.unwrap().path());
    let is_page = |path: &PathBuf| path.extension().is_some_and(|name| name == "md");
    paths.filter(is_page).collect()
}

/// Targets of a page's Markdown links, except links to other sites and within the page.
fn links(text: &str) -> impl Iterator<Item = &str> {
    let targets = text.split("](").skip(1);
    let targets = targets.filter_map(|rest| rest.split([')', '#']).next());
    targets.filter(|target| !target.is_empty() && !target.contains("://"))
}

/// Guards against documentation that links to missing files.
#[test]
fn documentation_links_point_to_files() {
    let mut count = 0;
    for directory in ["", "docs", "docs/operations"] {
        for page in pages(&Path::new(ROOT).join(directory)) {
            let text = std::fs::read_to_string(&page).unwrap();
            for link in links(&text) {
                let target = page.parent().unwrap().join(link);
                assert!(target.exists(), "{} links to {link}", page.display());
                count += 1;
            }
        }
    }
    assert!(count >= 10, "only {count} links were found");
}

/// Guards against example settings with too few hosts for a successor, or without the peers of and the link to each
/// other failure domain.
#[test_case("fichaluz-poa-1.jsonc", 3; "fichaluz")]
#[test_case("ruta-caribe-limon-1.jsonc", 4; "ruta caribe")]
fn example_settings_reach_every_failure_domain(file: &str, failure_domains: usize) {
    let settings = Settings::open(Path::new(ROOT).join("examples/settings").join(file)).unwrap();
    let peers = &settings.peers;
    let mut domains: Vec<_> = peers.iter().map(|peer| &peer.failure_domain).collect();
    let own = domains
        .iter()
        .filter(|domain| ***domain == settings.failure_domain);
    assert!(own.count() >= 2);
    domains.sort();
    domains.dedup();
    assert_eq!(domains.len(), failure_domains);
    for domain in domains {
        let is_own = *domain == settings.failure_domain;
        assert_ne!(is_own, settings.links.contains_key(domain), "{domain}");
    }
    let this = peers.iter().find(|peer| peer.name == settings.name);
    assert_eq!(this.map(|peer| peer.address), Some(settings.peer_address));
}
