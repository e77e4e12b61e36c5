import type { ServerResponse } from "node:http";
import type { Polka } from "polka";
import { formatRevision, REVISION_KEY } from "../version/index.ts";
import type { EntryInstanceParts } from "./entry_parts.ts";
import { sendJson } from "./http_body.ts";
import { routeParameter } from "./route_parameter.ts";

/** Adds the routes of operators. */
export function addOperatorRoutes(app: Polka, parts: EntryInstanceParts): void {
  app.get("/v1/status", (_request, response) => {
    const revision = parts.configuration.revision();
    sendJson(response, { revision: revision?.version ?? 0, preset: revision?.preset ?? "" });
  });
  app.put("/v1/preset/:name", async (request, response) => {
    await usePreset(parts, routeParameter(request, "name"), response);
  });
}

async function usePreset(
  parts: EntryInstanceParts,
  preset: string,
  response: ServerResponse,
): Promise<void> {
  const revision = parts.configuration.revision();
  if (revision === undefined || !(preset in revision.deployment.presets)) {
    sendJson(response, { outcome: "refused" }, { status: 409 });
    return;
  }
  const value = formatRevision({ ...revision, preset });
  const outcome = await parts.store.put(REVISION_KEY, value, { expect: revision.version });
  sendJson(response, outcome, { status: outcome.kind === "written" ? 200 : 409 });
}
