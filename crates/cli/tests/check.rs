//! Tests of the commands that check files: the examples pass, faults and warnings are printed, and
//! exit codes are as documented.

mod tool;

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use oriolecleat_bench::loopback;
use oriolecleat_core::entry;
use oriolecleat_core::entry::Class;
use oriolecleat_core::map::Map;
use oriolecleat_core::map::Set;
use oriolecleat_core::settings;
use tool::run;

const ENTRY: &str = r#""service":"pagos","owner":"team","class":"batch""#;

/// Guards against examples in which the checks find faults or warnings.
#[test]
fn examples_pass() {
    for user in ["nilewing", "ninera-pura"] {
        let (code, output, _) = run(&["check-catalogue", &format!("examples/{user}/catalogue")]);
        assert_eq!(code, 0, "{output}");
        assert!(
            output.ends_with("7 files checked, 0 faults found, 0 warnings\n"),
            "{output}"
        );
        let files = files(&format!("examples/{user}/settings"));
        let data_centers: Set<Box<str>> = files
            .iter()
            .map(|file| {
                let (code, output, _) = run(&["check-settings", file.to_str().unwrap()]);
                assert_eq!(code, 0, "{output}");
                settings::parse(&fs::read_to_string(file).unwrap())
                    .unwrap()
                    .data_center
            })
            .collect();
        assert_eq!(data_centers.len(), 6);
    }
}

/// Guards against examples that differ from the deployments on the design page.
#[test]
fn examples_have_the_deployments_of_the_design_page() {
    for user in ["nilewing", "ninera-pura"] {
        let mut classes: Map<Box<str>, Vec<Class>> = Map::default();
        for file in files(&format!("examples/{user}/catalogue")) {
            if file.ends_with("fleet.json") {
                continue;
            }
            let entry = entry::parse(&fs::read_to_string(file).unwrap()).unwrap();
            classes.entry(entry.service).or_default().push(entry.class);
            let data_centers: Set<&str> = entry
                .targets
                .iter()
                .map(|target| &*target.data_center)
                .collect();
            assert_eq!(data_centers.len(), 6);
            assert!((12..=13).contains(&entry.targets.len()));
            assert!(entry.targets.iter().all(|target| target.slots == 4));
        }
        assert_eq!(classes.len(), 3);
        let mixed = |classes: &Vec<Class>| classes.len() == 2 && classes.contains(&Class::Once);
        assert!(classes.values().all(mixed));
    }
}

/// Guards against faults that are not printed, and against exit codes that differ from the
/// documented ones.
#[test]
fn faults_and_exit_codes() {
    struct Case {
        arguments: &'static [&'static str],
        code: i32,
        output: &'static [&'static str],
        error: &'static str,
    }
    let directory = Directory::create(
        "faults",
        &[
            ("good.json", &format!("{{{ENTRY}}}")),
            (
                "bad.json",
                r#"{"service":"P","class":"batch","x\u001b[2J":1}"#,
            ),
            ("Wrong Name.json", "{}"),
            (
                "fleet.json",
                r#"{"vm_ceiling":0,"configuration_calls_per_s":1}"#,
            ),
            ("notes.txt", "not read"),
        ],
    );
    let catalogue = directory.catalogue();
    let refusing = loopback::refusing().unwrap().to_string();
    #[rustfmt::skip]
    let cases = [
        Case { arguments: &["check-catalogue", "DIR"], code: 1, error: "", output: &[
            "DIR/Wrong Name.json: the name must be NAME.json; NAME is 1 to 64 characters of a-z, \
             0-9, - and .",
            "DIR/bad.json: service: must be 1 to 64 characters of a-z, 0-9, - and .",
            "DIR/bad.json: owner: is required",
            "DIR/bad.json: x [2J: is not a known field",
            "DIR/fleet.json: vm_ceiling: must be an integer from 1 to 1024",
            "DIR/good.json: ok",
            "warning: entry good has no targets",
            "5 faults found",
        ] },
        Case { arguments: &["check-catalogue", "DIR/good.json"], code: 0, error: "",
               output: &["1 file checked, 0 faults found, 1 warning"] },
        Case { arguments: &["check-settings", "DIR/good.json"], code: 1, error: "",
               output: &["vm: is required", "owner: is not a known field"] },
        Case { arguments: &["check-settings", "DIR/none.json"], code: 2, output: &[],
               error: "error: cannot read DIR/none.json: No such file" },
        Case { arguments: &["check-catalogue", "DIR/.."], code: 2, output: &[],
               error: "DIR/.. holds no JSON file" },
        Case { arguments: &["check-catalogue"], code: 2, output: &[], error: "FILE|DIR" },
        Case { arguments: &["status", "--operator", "host:1"], code: 2, output: &[],
               error: "couldn't parse `host:1`" },
        Case { arguments: &["explain", "--operator", "REFUSING", "entry", "a/b"], code: 2,
               output: &[], error: "must be 1 to 64 characters" },
        Case { arguments: &["--help"], code: 0, error: "",
               output: &["check-settings", "check-catalogue", "status", "explain", "fleet", "audit",
                         "Exit codes: 0 nothing is wrong, 1 faults were found, 2 wrong usage"] },
    ];
    for case in cases {
        let fill = |text: &&str| {
            text.replace("DIR", &catalogue)
                .replace("REFUSING", &refusing)
        };
        let arguments: Vec<String> = case.arguments.iter().map(fill).collect();
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        let (code, output, error) = run(&arguments);
        assert_eq!(code, case.code, "{arguments:?}: {output}{error}");
        let error_part = if error.contains("FILE|DIR") {
            case.error.to_owned()
        } else {
            fill(&case.error)
        };
        assert!(error.contains(&error_part), "{arguments:?}: {error}");
        assert!(!output.contains('\u{1b}'), "{arguments:?}: {output}");
        for expected in case.output.iter().map(fill) {
            assert!(output.contains(&expected), "{arguments:?}: {output}");
        }
    }
}

/// Guards against a check that does not warn of entries which get no requests because of another
/// one, and of other likely mistakes.
#[test]
fn warnings() {
    let target = |port: u16| {
        let place = r#""vm":"v","region":"r","data_center":"d""#;
        format!(r#""targets":[{{"name":"t","address":"192.0.2.1:{port}",{place}}}]"#)
    };
    let directory = Directory::create(
        "warnings",
        &[
            (
                "a.json",
                &format!(r#"{{{ENTRY},"methods":["GET"],{}}}"#, target(1)),
            ),
            (
                "b.json",
                &format!(r#"{{{ENTRY},"generation":2,{}}}"#, target(2)),
            ),
        ],
    );
    let (code, output, _) = run(&["check-catalogue", &directory.catalogue()]);
    let warnings: Vec<&str> = output
        .lines()
        .filter(|line| line.starts_with("warning"))
        .collect();
    let expected = [
        "warning: entry b gets no pagos requests with GET: entry a comes first by name",
        "warning: entries a and b of pagos describe target t differently",
        "warning: entries have generations from 0 to 2",
        "warning: there is no fleet.json",
    ];
    assert_eq!(warnings, expected);
    assert_eq!(code, 0);
}

fn files(directory: &str) -> Vec<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../..")
        .join(directory);
    let found = fs::read_dir(root).unwrap();
    found.map(|file| file.unwrap().path()).collect()
}

/// A directory below the temporary directory of the build that is removed when it is dropped.
struct Directory(PathBuf);

impl Directory {
    /// Creates the directory with `files`. Each process has its own, as several may run at once.
    fn create(name: &str, files: &[(&str, &str)]) -> Self {
        let own = format!("{name}-{}", std::process::id());
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(own);
        let catalogue = path.join("catalogue");
        fs::create_dir_all(&catalogue).unwrap();
        for (name, text) in files {
            fs::write(catalogue.join(name), text).unwrap();
        }
        Self(path)
    }

    fn catalogue(&self) -> String {
        let path = self.0.join("catalogue");
        path.to_str().unwrap().to_owned()
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        // What stays after a failure does no harm.
        let _ = fs::remove_dir_all(&self.0);
    }
}
