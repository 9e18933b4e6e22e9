// Generates generated/<name>.h from schema/<name>.json, both at the root and below platform/. The
// first line of a header is the digest of its schema; unchanged schemas are skipped.
// Usage: node tools/codegen/generate.mjs [--check]
import { createHash } from 'node:crypto';
import { readFileSync, writeFileSync, readdirSync, existsSync } from 'node:fs';
import { dirname, join, basename } from 'node:path';
import { fileURLToPath } from 'node:url';

const root = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
const parts = ['.', 'platform'];
const checkOnly = process.argv.includes('--check');

function digestOf(text) {
    return createHash('sha256').update(text).digest('hex');
}

async function generate(name, text) {
    const { quicktype, InputData, JSONSchemaInput, FetchingJSONSchemaStore } =
        await import('quicktype-core');
    const input = new JSONSchemaInput(new FetchingJSONSchemaStore());
    const definitions = JSON.parse(text).definitions;
    const topLevel = Object.keys(definitions).filter(type => !definitions[type]['x-part']);
    const uris = topLevel.map(type => `#/definitions/${type}`);
    // quicktype names a single top-level type after the source instead of its definition.
    const source = topLevel.length === 1 ? topLevel[0] : name;
    await input.addSource({ name: source, schema: text, uris });
    const inputData = new InputData();
    inputData.addInput(input);
    const result = await quicktype({
        inputData,
        lang: 'c++',
        rendererOptions: {
            namespace: `anvilmill::wire::${name}`,
            'code-format': 'with-struct',
            'member-style': 'camel-case',
            'type-style': 'pascal-case',
            'enumerator-style': 'pascal-case',
            'source-style': 'single-source',
            'include-location': 'global-include',
            boost: 'false',
            'hide-null-optional': 'true',
        },
    });
    return result.lines.join('\n');
}

// Settings are validated against their schema at run time, so its text is compiled into the binary.
function schemaText(text) {
    const head = '#pragma once\n\nnamespace anvilmill::wire::settings {\n\n';
    const body = `inline constexpr const char *SchemaText = R"schema(${text})schema";\n`;
    return `${head}${body}\n} // namespace anvilmill::wire::settings\n`;
}

const staleHeaders = [];
for (const part of parts) {
    const schemaFolder = join(root, part, 'schema');
    const outputFolder = join(root, part, 'generated');
    for (const file of readdirSync(schemaFolder).filter(f => f.endsWith('.json')).sort()) {
        const name = basename(file, '.json');
        const text = readFileSync(join(schemaFolder, file), 'utf8');
        const target = join(outputFolder, `${name}.h`);
        const digestLine = `// schema-digest: ${digestOf(text)}`;
        const firstLine = existsSync(target) ? readFileSync(target, 'utf8').split('\n')[0] : '';
        if (firstLine === digestLine)
            continue;
        if (checkOnly) {
            staleHeaders.push(`${part}/generated/${name}.h does not match ${part}/schema/${file}`);
            continue;
        }
        writeFileSync(target, `${digestLine}\n${await generate(name, text)}`);
        console.log(`${part}/generated/${name}.h`);
        if (name === 'settings')
            writeFileSync(join(outputFolder, 'settingsschema.h'), schemaText(text));
    }
}
for (const line of staleHeaders)
    console.error(line);
process.exit(staleHeaders.length ? 1 : 0);
