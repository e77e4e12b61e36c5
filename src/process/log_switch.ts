// The log library looks at this variable once, when it is first loaded, and drops every message where it is
// not set; whether anything is logged is for the settings to say.
process.env["ROARR_LOG"] = "true";

export {};
