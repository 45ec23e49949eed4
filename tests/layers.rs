//! The folders of `src` depend on each other only as docs/DESIGN.md, "The map", allows.

use std::path::Path;

/// Each folder with the folders that it may use, from the bottom layer up.
const LAYERS: &[(&str, &[&str])] = &[
    ("process", &[]),
    ("explain", &[]),
    ("config", &["process"]),
    ("decisions", &["process", "config"]),
    ("links", &["process", "config", "decisions"]),
    ("controllers", &["process", "config", "decisions", "links"]),
    (
        "quic",
        &["process", "config", "decisions", "links", "controllers"],
    ),
    (
        "opaque",
        &["process", "config", "decisions", "links", "controllers"],
    ),
    (
        "programs",
        &[
            "process",
            "explain",
            "config",
            "decisions",
            "links",
            "controllers",
            "quic",
            "opaque",
        ],
    ),
];

/// Returns each file under `folder` with the modules that its `crate::` paths name.
fn used_modules(folder: &Path) -> Vec<(String, String)> {
    let mut used = Vec::new();
    for entry in std::fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            used.extend(used_modules(&path));
            continue;
        }
        let text = std::fs::read_to_string(&path).expect("a source file");
        for path_rest in text.split("crate::").skip(1) {
            let end = path_rest.find(|letter: char| !letter.is_ascii_lowercase() && letter != '_');
            let name = &path_rest[..end.unwrap_or(path_rest.len())];
            used.push((path.display().to_string(), name.to_owned()));
        }
    }
    used
}

#[test]
fn folders_use_only_the_folders_that_their_layer_allows() {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let is_folder = |name: &str| LAYERS.iter().any(|(folder, _)| *folder == name);
    for (folder, allowed) in LAYERS {
        for (file, name) in used_modules(&source.join(folder)) {
            let is_own = name == *folder;
            assert!(
                is_own || !is_folder(&name) || allowed.contains(&name.as_str()),
                "{file} uses {name}"
            );
        }
    }
}

#[test]
fn every_folder_has_a_layer() {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    for entry in std::fs::read_dir(source).expect("a folder") {
        let entry = entry.expect("an entry");
        let name = entry.file_name().into_string().expect("a name");
        let has_layer = LAYERS.iter().any(|(folder, _)| *folder == name) || name == "bin";
        assert!(!entry.path().is_dir() || has_layer, "{name} has no layer");
    }
}
