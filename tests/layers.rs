//! Folders of `src` depend only on those that docs/DESIGN.md, "The map", allows.

use std::path::Path;

/// Each folder with the folders that it may use, from the lowest layer to the highest.
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

/// Returns the path of each source file in a folder with each name that follows `crate::` in it.
fn used_folders(folder: &Path) -> Vec<(String, String)> {
    let mut names = Vec::new();
    for entry in std::fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            names.extend(self::used_folders(&path));
            continue;
        }
        let text = std::fs::read_to_string(&path).expect("a source file");
        for after in text.split("crate::").skip(1) {
            let end = after.find(|letter: char| !letter.is_ascii_lowercase() && letter != '_');
            let name = &after[..end.unwrap_or(after.len())];
            names.push((path.display().to_string(), name.to_owned()));
        }
    }
    names
}

#[test]
fn folders_use_only_those_below_them() {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let is_folder = |name: &str| LAYERS.iter().any(|(folder, _)| *folder == name);
    for (folder, allowed) in LAYERS {
        for (file, name) in used_folders(&source.join(folder)) {
            let own = name == *folder;
            assert!(
                own || !is_folder(&name) || allowed.contains(&name.as_str()),
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
